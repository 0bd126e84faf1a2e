// What the audit left open: each word on the command line is a test that is expected to fail until it is
// mended. docs/audit-findings.md says more.
#include <string>
#include <thread>

#include "check.hpp"
#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "log/log.hpp"
#include "no_store.hpp"

using namespace laurelhaven;
using std::chrono::milliseconds;

namespace {

config::Config configured(const std::string& settings, int sockets = 1024) {
    return config::fromText(check::configuration("127.0.0.1:0", "127.0.0.1:1",
                                                 check::entry("a", "127.0.0.1:9", 7), settings, sockets),
                            {{"BALANCER_STATE", "/tmp"}});
}

// O1: taken as the second class, an unsafe one that may have run; the classes are listed the other way round
// now.
void classes() {
    auto settings = check::settings();
    const std::string begin = R"("grades":[)";
    settings.insert(
        settings.find(begin) + begin.size(),
        R"({"name":"alert","effect":"side_effect","give-up-ns":28000000000,"slo-ns":4000000000},)");
    const auto config = configured(settings);
    check::NoStore store;
    decisions::Decisions facade(config, store, {[](const store::Owed&) {}, [](const std::string&) {}});
    facade.report(config.known, true);
    const auto now =
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    store::Taken alert;
    alert.id = "m";
    alert.destination = 7;
    alert.grade = 1;
    alert.deadline = now.count() + 9000;
    alert.attempts = 1;
    alert.out = true;
    alert.sentAt = now.count() - 1000;
    alert.body = std::make_shared<const std::string>("body");
    facade.restore({alert});
    std::thread ticker([&] {
        while (facade.tick()) {
        }
    });
    std::this_thread::sleep_for(milliseconds(1000));  // far more than the backoff
    const bool again = facade.out() > 0;
    facade.stop();
    ticker.join();
    CHECK(!again);
}

// O5: what is dealt out is more than there is.
void descriptors() {
    const auto config = configured(check::settings(), 64);
    const auto shares = config::shares(config);
    CHECK(48 + shares.calls + shares.idle + shares.clients <= config.sockets);
}

}  // namespace

int main(int argc, char** argv) {
    log::setLevel(log::Level::off);
    const std::string which = argc > 1 ? argv[1] : "";
    if (which == "classes") classes();
    if (which == "descriptors") descriptors();
}
