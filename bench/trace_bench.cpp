// What capturing costs the sender, and what a long trace costs its readers. Prints one JSON object.
//   trace_bench [messages through the facade] [messages in the trace]
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "log/log.hpp"
#include "no_store.hpp"
#include "trace/capture.hpp"
#include "trace/file.hpp"
#include "trace/summary.hpp"

using namespace laurelhaven;
using Steady = std::chrono::steady_clock;

namespace {

const char* const kConfiguration =
    R"({"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",)"
    R"("limits":{"memory_mb":192,"disk_mb":400,"sockets":1024},"settings":{"grades":[{"name":"notice",)"
    R"("effect":"token","give-up-ns":28000000000,"slo-ns":4000000000,"key-ttl-ns":15000000000}],)"
    R"("kinds":["partner"],"zones":["quimper"],"weights":"nominal","domain":{"max-calls":24},)"
    R"("limits":{"attempts-cap":8,"max-open":100},"safety":{}}})";

double seconds(Steady::duration span) { return std::chrono::duration<double>(span).count(); }

struct Cost {
    double perSecond = 0, p99Us = 0;
    std::uint64_t dropped = 0, written = 0;
};

/// Messages one by one through the facade: hand-in, pick, begin, delivered.
Cost through(const std::string& folder, bool capturing, int messages) {
    const auto config = config::fromText(kConfiguration, {{"BALANCER_STATE", folder}});
    trace::CaptureOptions options;
    options.enabled = capturing;
    options.folder = folder + "/capture";
    trace::Capture capture(options, config);
    check::NoStore store;
    decisions::Decisions facade(
        config, store,
        {{},
         {},
         [&](const auto& call, const auto& result, auto took) { capture.answered(call, result, took); },
         {},
         [&](const auto& message, const auto& verdict) { capture.arrived(message, verdict); }});
    listing::EndpointList list{1, true, {}};
    for (int i = 0; i < 8; ++i)
        list.endpoints.push_back({"s-" + std::to_string(i), "127.0.0.1:9", "quimper", "partner",
                                  static_cast<std::uint64_t>(i), listing::Status::serving, 1e9, 0});
    facade.updateEndpoints(list, true);
    capture.start();
    const auto body = std::make_shared<const std::string>(300, 'x');
    std::vector<double> took;
    took.reserve(static_cast<std::size_t>(messages));
    const auto begun = Steady::now();
    for (int i = 0; i < messages; ++i) {
        const auto at = Steady::now();
        decisions::Submission message;
        message.id = "message-" + std::to_string(i);
        message.key = message.id;
        message.destination = static_cast<std::uint64_t>(i % 8);
        message.deadline = at + std::chrono::seconds(12);
        message.body = body;
        if (facade.submit(message).kind != decisions::SubmissionResult::Kind::accepted) continue;
        while (facade.attemptsInFlight() == 0) facade.tick();
        const auto call = facade.takeDueAttempt();
        if (!call || !facade.tryBeginAttempt(*call)) return {};
        decisions::AttemptResult result;
        result.status = decisions::AttemptStatus::delivered;
        facade.recordResult(*call, result);
        took.push_back(seconds(Steady::now() - at));
    }
    Cost cost;
    cost.perSecond = static_cast<double>(took.size()) / seconds(Steady::now() - begun);
    std::nth_element(took.begin(), took.begin() + static_cast<long>(took.size() * 99 / 100), took.end());
    cost.p99Us = took[took.size() * 99 / 100] * 1e6;
    facade.stop();
    capture.stop();
    cost.dropped = capture.counts().dropped;
    cost.written = capture.counts().written;
    return cost;
}

double median(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

}  // namespace

int main(int argc, char** argv) {
    const int messages = argc > 1 ? std::atoi(argv[1]) : 20000;
    const auto inTrace = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1'000'000;
    log::setLevel(log::Level::error);
    std::string folder = (std::filesystem::temp_directory_path() / "trace-bench-XXXXXX").string();
    if (!mkdtemp(folder.data())) return 1;
    // Side by side and by turns: the machine is noisy.
    std::vector<double> rate, tail, more;  // more: microseconds a message
    std::uint64_t dropped = 0, written = 0;
    for (int round = 0; round < 7; ++round) {
        const auto without = through(folder, false, messages);
        const auto with = through(folder, true, messages);
        if (without.perSecond == 0 || with.perSecond == 0) return 1;
        rate.push_back(with.perSecond / without.perSecond);
        more.push_back(1e6 / with.perSecond - 1e6 / without.perSecond);
        tail.push_back(with.p99Us / without.p99Us);
        dropped += with.dropped, written += with.written;
    }
    const auto path = folder + "/long.lht";
    auto at = Steady::now();
    {
        trace::Writer writer(path, {trace::kVersion, "n0", 0});
        for (std::uint64_t i = 0; i < inTrace; ++i) {
            const auto now = static_cast<trace::Micros>(i * 13000);
            writer.add(trace::Arrival{now, trace::mixed(i), "notice", "odet", i % 300, 300 + i % 700, 12000,
                                      trace::Verdict::taken, 0});
            writer.add(trace::Answer{now + 9000, trace::mixed(i), i % 300,
                                     "s-e28b0f" + std::to_string(i % 90), 0, trace::Ending::delivered,
                                     80000 + trace::mixed(i) % 400000, 0, 4500});
        }
        writer.close();
    }
    const double wrote = seconds(Steady::now() - at);
    rusage before{}, after{};
    getrusage(RUSAGE_SELF, &before);
    at = Steady::now();
    trace::Summary summary;
    trace::Reader reader(path);
    for (trace::Record record; reader.next(record);) summary.add(record);
    const double read = seconds(Steady::now() - at);
    getrusage(RUSAGE_SELF, &after);
    std::printf(
        "{\"messages\":%d,\"rate_ratio\":%.3f,\"p99_ratio\":%.3f,\"more_us\":%.2f,\"dropped\":%llu,"
        "\"written\":%llu,"
        "\"trace_messages\":%llu,\"bytes_a_message\":%.1f,\"write_s\":%.1f,\"summarise_s\":%.1f,"
        "\"summarise_grew_mb\":%.1f,\"peak_mb\":%.1f}\n",
        messages, median(rate), median(tail), median(more), static_cast<unsigned long long>(dropped),
        static_cast<unsigned long long>(written), static_cast<unsigned long long>(summary.arrivals),
        static_cast<double>(std::filesystem::file_size(path)) / static_cast<double>(inTrace), wrote, read,
        static_cast<double>(after.ru_maxrss - before.ru_maxrss) / 1024,
        static_cast<double>(after.ru_maxrss) / 1024);
    std::filesystem::remove_all(folder);
    return 0;
}
