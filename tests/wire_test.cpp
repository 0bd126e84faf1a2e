// Tests of the adapter as a process: its output for event batches, and its errors for malformed input.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

namespace {

/// Exit status and output of one run of the adapter.
struct DrillRun {
    int status = 0;
    std::string out, err;
};

std::string readFile(const std::string& path) {
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), {}};
}

/// Runs the adapter with this standard input.
DrillRun runDrill(const std::string& input) {
    char dir[] = "/tmp/drillXXXXXX";
    if (!mkdtemp(dir)) throw std::runtime_error("mkdtemp");
    const std::string base = dir;
    std::ofstream(base + "/in") << input;
    const std::string command = std::string(DRILL) + " <" + base + "/in >" + base + "/out 2>" + base + "/err";
    DrillRun run;
    run.status = WEXITSTATUS(std::system(command.c_str()));
    run.out = readFile(base + "/out");
    run.err = readFile(base + "/err");
    for (const char* name : {"/in", "/out", "/err"}) std::remove((base + name).c_str());
    std::remove(dir);
    return run;
}

std::string beginBatch(long long ns) { return "{\"BeginBatch\":{\"wall-ns\":" + std::to_string(ns) + "}}\n"; }
const std::string kEndOfBatch = "{\"EofBatch\":{}}\n";

std::string attach(int i) {
    return "{\"Attach\":{\"i\":" + std::to_string(i) +
           ",\"init-seed\":7,\"params\":{\"grades\":[{\"effect\":\"pure\",\"slo-ns\":800000000,"
           "\"give-up-ns\":5000000000,\"novel\":1}],\"kinds\":[\"a\"],\"domain\":{\"max-calls\":8},"
           "\"limits\":{\"max-open\":40,\"attempts-cap\":6},\"unheard-of\":{\"x\":[1]}}}}\n";
}
const std::string kEndpointList =
    "{\"Manifest\":{\"set-id\":0,\"elements\":[{\"receiver\":\"receiver.a\",\"kind\":0,\"destination\":3,"
    "\"state\":\"in_service\",\"capacity-hint\":1}]}}\n";
std::string fleet(int i) {
    return "{\"Fleet\":{\"i\":" + std::to_string(i) + ",\"kind\":\"disk\",\"seq-no\":1,\"set-id\":0}}\n";
}
std::string order(int i, const std::string& id) {
    return "{\"Order\":{\"i\":" + std::to_string(i) + ",\"handle\":\"" + id +
           "\",\"grace-ns\":5000000000,\"to-exchange\":3,\"service\":0}}\n";
}

TEST(Wire, ForwardsAcceptedMessage) {
    const DrillRun run =
        runDrill(beginBatch(1) + attach(2) + kEndpointList + fleet(2) + order(2, "m1") + kEndOfBatch);
    EXPECT_EQ(run.status, 0) << run.err;
    EXPECT_NE(run.out.find("\"Forward\":{\"handle\":\"m1\",\"i\":2,\"receiver\":\"receiver.a\""),
              std::string::npos)
        << run.out;
    EXPECT_TRUE(run.out.ends_with("{\"Yield\":{}}\n"));
}

TEST(Wire, WhispersOfOtherSendersAreIgnored) {
    const std::string whispers =
        "{\"Whisper\":{\"i\":2,\"src\":1,\"payload\":\"aGkgNw==\"}}\n"
        "{\"Whisper\":{\"i\":2,\"src\":-7,\"payload\":\"?\"}}\n";
    const auto setup = beginBatch(1) + attach(2) + kEndpointList + fleet(2);
    const DrillRun run = runDrill(setup + whispers + order(2, "m1") + kEndOfBatch);
    EXPECT_EQ(run.status, 0) << run.err;
    EXPECT_EQ(run.out, runDrill(setup + order(2, "m1") + kEndOfBatch).out);
}

TEST(Wire, EmptyBatchAndEmptyInputSucceed) {
    const DrillRun run = runDrill(beginBatch(5) + kEndOfBatch);
    EXPECT_EQ(run.status, 0);
    EXPECT_EQ(run.out, "{\"Yield\":{}}\n");
    EXPECT_EQ(runDrill("").status, 0);
}

TEST(Wire, InterleavedSendersActAsWhenAlone) {
    const auto actionsOf = [](const std::string& out, const std::string& marker) {
        std::string matching;
        std::size_t lineStart = 0;
        for (std::size_t end; (end = out.find('\n', lineStart)) != std::string::npos; lineStart = end + 1) {
            const std::string line = out.substr(lineStart, end - lineStart);
            if (line.find(marker) != std::string::npos) matching += line + '\n';
        }
        return matching;
    };
    const DrillRun alone = runDrill(beginBatch(1) + attach(1) + kEndpointList + fleet(1) + order(1, "m1") +
                                    order(1, "m2") + kEndOfBatch);
    const DrillRun both =
        runDrill(beginBatch(1) + attach(2) + attach(1) + kEndpointList + fleet(1) + fleet(2) + order(2, "x") +
                 order(1, "m1") + order(2, "y") + order(1, "m2") + kEndOfBatch);
    EXPECT_EQ(actionsOf(alone.out, "\"i\":1"), actionsOf(both.out, "\"i\":1"));
    EXPECT_FALSE(actionsOf(alone.out, "\"i\":1").empty());
}

TEST(Wire, PoweredOffSenderForgetsItsMessages) {
    const std::string powerOff = "{\"PowerOff\":{\"i\":1}}\n";
    const DrillRun run = runDrill(beginBatch(1) + attach(1) + kEndpointList + fleet(1) + order(1, "m1") +
                                  powerOff + attach(1) + kEndOfBatch);
    EXPECT_EQ(run.status, 0) << run.err;
    EXPECT_EQ(run.out.find("m1"), std::string::npos);
}

TEST(Wire, MalformedInputIsReportedWithoutOutput) {
    const std::string prefix = beginBatch(1) + attach(1) + kEndpointList;
    const std::pair<std::string, std::string> cases[] = {
        {beginBatch(1) + "{\"Order\":", "line 2"},
        {beginBatch(1) + "[1]\n", "single key"},
        {"{\"EofBatch\":{}}\n", "outside a batch"},
        {beginBatch(1) + beginBatch(2), "inside a batch"},
        {beginBatch(1), "ended inside a batch"},
        {"{\"BeginBatch\":{\"wall-ns\":\"x\"}}\n", "wall-ns"},
        {prefix + "{\"Novel\":{\"i\":1}}\n", "unknown message 'Novel'"},
        {prefix + fleet(9), "unknown instance 9"},
        {prefix + "{\"Fleet\":{\"i\":1,\"kind\":\"disk\",\"seq-no\":1,\"set-id\":4}}\n", "unknown list 4"},
        {prefix + "{\"Fleet\":{\"i\":1,\"kind\":\"odd\",\"set-id\":0}}\n", "'odd'"},
        {prefix + "{\"Order\":{\"i\":1,\"grace-ns\":5,\"to-exchange\":3}}\n", "'handle' is missing"},
        {prefix + "{\"Order\":{\"i\":1,\"handle\":7,\"grace-ns\":5,\"to-exchange\":3}}\n", "wrong type"},
        {prefix + "{\"Response\":{\"i\":1,\"handle\":\"a\",\"receiver\":\"r\",\"result\":\"great\"}}\n",
         "'great'"},
        {beginBatch(1) + "{\"Attach\":{\"i\":1,\"init-seed\":7,\"params\":{}}}\n", "max-calls"},
    };
    for (const auto& [input, expectedError] : cases) {
        const DrillRun run = runDrill(input + (expectedError == "ended inside a batch" ? "" : kEndOfBatch));
        EXPECT_EQ(run.status, 1) << input;
        EXPECT_EQ(run.out, "") << input;
        EXPECT_NE(run.err.find(expectedError), std::string::npos) << input << run.err;
        EXPECT_EQ(std::count(run.err.begin(), run.err.end(), '\n'), 1) << run.err;
    }
}

TEST(Wire, EventsForUnknownMessagesAreIgnored) {
    const DrillRun run =
        runDrill(beginBatch(1) + attach(1) + kEndpointList + fleet(1) +
                 "{\"TimedOutClient\":{\"i\":1,\"handle\":\"gone\"}}\n"
                 "{\"Response\":{\"i\":1,\"handle\":\"gone\",\"receiver\":\"r\",\"result\":\"expired\"}}\n" +
                 kEndOfBatch);
    EXPECT_EQ(run.status, 0) << run.err;
}

}  // namespace
