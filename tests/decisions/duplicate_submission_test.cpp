// One message submitted twice, as when its client repeats the request on a new connection: a lost answer to
// one submission must not drop the message that the other one was promised.
#include <gtest/gtest.h>

#include "check.hpp"
#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "log/log.hpp"
#include "no_store.hpp"

namespace {

using namespace laurelhaven;
using Kind = decisions::SubmissionResult::Kind;

struct CountingStore : check::NoStore {
    int removed = 0;
    bool remove(const std::string&) override { return ++removed > 0; }
};

class DuplicateSubmission : public testing::Test {
  protected:
    DuplicateSubmission() {
        log::setLevel(log::Level::off);
        facade_.updateEndpoints(config_.known, true);
    }
    ~DuplicateSubmission() override { facade_.stop(); }
    decisions::SubmissionResult submit() {
        return facade_.submit(decisions::Submission{"m", "key", 7, 0, 0,
                                                    decisions::Steady::now() + std::chrono::seconds(20),
                                                    std::make_shared<const std::string>("body")});
    }

    const config::Config config_ =
        config::fromText(check::configuration("127.0.0.1:0", "127.0.0.1:1",
                                              check::entry("a", "127.0.0.1:9", 7), check::settings()),
                         {{"BALANCER_STATE", "/tmp"}});
    CountingStore store_;
    decisions::Decisions facade_{config_, store_, {}};
};

// The answer to the first submission could not be written, and the second was answered with `accepted`.
TEST_F(DuplicateSubmission, OneLostAnswerKeepsTheMessage) {
    ASSERT_EQ(submit().kind, Kind::accepted);
    const auto again = submit();
    ASSERT_EQ(again.kind, Kind::accepted);
    EXPECT_TRUE(again.duplicate);
    facade_.withdraw("m");
    EXPECT_EQ(facade_.heldMessages(), 1u) << "the client that received the second answer relies on it";
    EXPECT_EQ(store_.removed, 0);
}

// Neither answer could be written, so no client relies on the message.
TEST_F(DuplicateSubmission, TwoLostAnswersDropTheMessage) {
    ASSERT_EQ(submit().kind, Kind::accepted);
    ASSERT_EQ(submit().kind, Kind::accepted);
    facade_.withdraw("m");
    facade_.withdraw("m");
    EXPECT_EQ(store_.removed, 1);
}

}  // namespace
