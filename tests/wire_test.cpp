// The adapter from outside: what it answers, and what it says of malformed input.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

namespace {

struct Played {
    int status = 0;
    std::string out, err;
};

std::string slurp(const std::string& path) {
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

Played drill(const std::string& input) {
    char dir[] = "/tmp/drillXXXXXX";
    if (!mkdtemp(dir)) throw std::runtime_error("mkdtemp");
    const std::string base = dir;
    std::ofstream(base + "/in") << input;
    const std::string command = std::string(DRILL) + " <" + base + "/in >" + base + "/out 2>" + base + "/err";
    Played run;
    run.status = WEXITSTATUS(std::system(command.c_str()));
    run.out = slurp(base + "/out");
    run.err = slurp(base + "/err");
    for (const char* name : {"/in", "/out", "/err"}) std::remove((base + name).c_str());
    std::remove(dir);
    return run;
}

std::string begin(long long ns) { return "{\"BeginBatch\":{\"wall-ns\":" + std::to_string(ns) + "}}\n"; }
const std::string kEnd = "{\"EofBatch\":{}}\n";

std::string attach(int i) {
    return "{\"Attach\":{\"i\":" + std::to_string(i) +
           ",\"init-seed\":7,\"params\":{\"grades\":[{\"effect\":\"pure\",\"slo-ns\":800000000,"
           "\"give-up-ns\":5000000000,\"novel\":1}],\"kinds\":[\"a\"],\"domain\":{\"max-calls\":8},"
           "\"limits\":{\"max-open\":40,\"attempts-cap\":6},\"unheard-of\":{\"x\":[1]}}}}\n";
}
const std::string kList =
    "{\"Manifest\":{\"set-id\":0,\"elements\":[{\"receiver\":\"receiver.a\",\"kind\":0,\"destination\":3,"
    "\"state\":\"in_service\",\"capacity-hint\":1}]}}\n";
std::string fleet(int i) {
    return "{\"Fleet\":{\"i\":" + std::to_string(i) + ",\"kind\":\"disk\",\"seq-no\":1,\"set-id\":0}}\n";
}
std::string order(int i, const std::string& id) {
    return "{\"Order\":{\"i\":" + std::to_string(i) + ",\"handle\":\"" + id +
           "\",\"grace-ns\":5000000000,\"to-exchange\":3,\"service\":0}}\n";
}

TEST(Wire, SendsWhatWasHandedIn) {
    const Played run = drill(begin(1) + attach(2) + kList + fleet(2) + order(2, "m1") + kEnd);
    EXPECT_EQ(run.status, 0) << run.err;
    EXPECT_NE(run.out.find("\"Forward\":{\"handle\":\"m1\",\"i\":2,\"receiver\":\"receiver.a\""),
              std::string::npos)
        << run.out;
    EXPECT_TRUE(run.out.ends_with("{\"Yield\":{}}\n"));
}

TEST(Wire, NotesOfOtherSendersArePassedOver) {
    const std::string notes = "{\"Whisper\":{\"i\":2,\"src\":1,\"payload\":\"aGkgNw==\"}}\n"
                              "{\"Whisper\":{\"i\":2,\"src\":-7,\"payload\":\"?\"}}\n";
    const auto start = begin(1) + attach(2) + kList + fleet(2);
    const Played run = drill(start + notes + order(2, "m1") + kEnd);
    EXPECT_EQ(run.status, 0) << run.err;
    EXPECT_EQ(run.out, drill(start + order(2, "m1") + kEnd).out);
}

TEST(Wire, EmptyBatchAndEndOfInput) {
    const Played run = drill(begin(5) + kEnd);
    EXPECT_EQ(run.status, 0);
    EXPECT_EQ(run.out, "{\"Yield\":{}}\n");
    EXPECT_EQ(drill("").status, 0);
}

TEST(Wire, SendersActAlikeAloneAndInterleaved) {
    const auto actionsOf = [](const std::string& out, const std::string& mark) {
        std::string kept;
        std::size_t at = 0;
        for (std::size_t end; (end = out.find('\n', at)) != std::string::npos; at = end + 1) {
            const std::string line = out.substr(at, end - at);
            if (line.find(mark) != std::string::npos) kept += line + '\n';
        }
        return kept;
    };
    const Played alone =
        drill(begin(1) + attach(1) + kList + fleet(1) + order(1, "m1") + order(1, "m2") + kEnd);
    const Played both = drill(begin(1) + attach(2) + attach(1) + kList + fleet(1) + fleet(2) + order(2, "x") +
                              order(1, "m1") + order(2, "y") + order(1, "m2") + kEnd);
    EXPECT_EQ(actionsOf(alone.out, "\"i\":1"), actionsOf(both.out, "\"i\":1"));
    EXPECT_FALSE(actionsOf(alone.out, "\"i\":1").empty());
}

TEST(Wire, KilledSenderForgetsAll) {
    const std::string off = "{\"PowerOff\":{\"i\":1}}\n";
    const Played run =
        drill(begin(1) + attach(1) + kList + fleet(1) + order(1, "m1") + off + attach(1) + kEnd);
    EXPECT_EQ(run.status, 0) << run.err;
    EXPECT_EQ(run.out.find("m1"), std::string::npos);
}

TEST(Wire, MalformedInputIsNamedAndNothingIsAnswered) {
    const std::string lead = begin(1) + attach(1) + kList;
    const std::pair<std::string, std::string> cases[] = {
        {begin(1) + "{\"Order\":", "line 2"},
        {begin(1) + "[1]\n", "single key"},
        {"{\"EofBatch\":{}}\n", "outside a batch"},
        {begin(1) + begin(2), "inside a batch"},
        {begin(1), "ended inside a batch"},
        {"{\"BeginBatch\":{\"wall-ns\":\"x\"}}\n", "wall-ns"},
        {lead + "{\"Novel\":{\"i\":1}}\n", "unknown message 'Novel'"},
        {lead + fleet(9), "unknown instance 9"},
        {lead + "{\"Fleet\":{\"i\":1,\"kind\":\"disk\",\"seq-no\":1,\"set-id\":4}}\n", "unknown list 4"},
        {lead + "{\"Fleet\":{\"i\":1,\"kind\":\"odd\",\"set-id\":0}}\n", "'odd'"},
        {lead + "{\"Order\":{\"i\":1,\"grace-ns\":5,\"to-exchange\":3}}\n", "'handle' is missing"},
        {lead + "{\"Order\":{\"i\":1,\"handle\":7,\"grace-ns\":5,\"to-exchange\":3}}\n", "wrong type"},
        {lead + "{\"Response\":{\"i\":1,\"handle\":\"a\",\"receiver\":\"r\",\"result\":\"great\"}}\n",
         "'great'"},
        {begin(1) + "{\"Attach\":{\"i\":1,\"init-seed\":7,\"params\":{}}}\n", "max-calls"},
    };
    for (const auto& [input, word] : cases) {
        const Played run = drill(input + (word == "ended inside a batch" ? "" : kEnd));
        EXPECT_EQ(run.status, 1) << input;
        EXPECT_EQ(run.out, "") << input;
        EXPECT_NE(run.err.find(word), std::string::npos) << input << run.err;
        EXPECT_EQ(std::count(run.err.begin(), run.err.end(), '\n'), 1) << run.err;
    }
}

TEST(Wire, EventsForMessagesNoLongerHeldArePassedOver) {
    const Played run =
        drill(begin(1) + attach(1) + kList + fleet(1) +
              "{\"TimedOutClient\":{\"i\":1,\"handle\":\"gone\"}}\n"
              "{\"Response\":{\"i\":1,\"handle\":\"gone\",\"receiver\":\"r\",\"result\":\"expired\"}}\n" +
              kEnd);
    EXPECT_EQ(run.status, 0) << run.err;
}

}  // namespace
