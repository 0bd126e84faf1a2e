// Experiments: what is wrong in one is named, variants meet the same messages, and the page needs nothing but
// itself; and days of a described fleet with real senders.
#include "experiment/experiment.hpp"

#include <gtest/gtest.h>
#include <json/reader.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "agree/ladder.hpp"
#include "view/view.hpp"

namespace {

using namespace laurelhaven;
using namespace std::chrono_literals;

class Trials : public testing::Test {
  protected:
    Trials() : folder_(std::filesystem::temp_directory_path() / ("trials-" + std::to_string(getpid()))) {
        std::filesystem::create_directories(folder_);
        put("fleet.yaml",
            "name: two\nzones: [west, east]\nload: {for: 5 s, tenants: 2}\nsenders: {count: 2, zones: "
            "[west]}\n"
            "partners:\n"
            "  - {name: a, endpoints: 2, capacity: 6/s, serve: 50 ms, asked: 6/s}\n"
            "  - {name: b, endpoints: 2, capacity: 5/s, limit: 8/s, serve: 100 ms, asked: 4/s}\n");
    }
    ~Trials() override { std::filesystem::remove_all(folder_); }
    std::string put(const std::string& name, const std::string& text) {
        const auto path = (folder_ / name).string();
        std::ofstream(path) << text;
        return path;
    }
    lab::Options options() const {
        lab::Options made;
        made.program = PROGRAM;
        made.folder = (folder_ / "runs").string();
        made.exact = false;
        made.logLevel = "error";
        return made;
    }
    std::filesystem::path folder_;
};

TEST_F(Trials, WhatIsWrongIsNamed) {
    const auto says = [&](const std::string& text, const std::string& expected) {
        try {
            experiment::read(put("e.yaml", text));
            ADD_FAILURE() << "read without complaint, expected: " << expected;
        } catch (const lab::Bad& e) {
            EXPECT_NE(std::string(e.what()).find(expected), std::string::npos) << e.what();
        }
    };
    says("fleet: other.yaml\nvariants: [{name: a}]\n", "e.yaml:1: there is no file");
    says("fleet: fleet.yaml\nvariants: []\n", "e.yaml:2: there must be a variant");
    says("fleet: fleet.yaml\nvariants:\n  - {name: a}\n  - {name: a}\n",
         "e.yaml:4: there are two variants 'a'");
    says("fleet: fleet.yaml\nfor: 30\nvariants: [{name: a}]\n", "a time with its unit");
    says("fleet: fleet.yaml\non: [moon]\nvariants: [{name: a}]\n", "one of model, loopback");
    says("fleet: fleet.yaml\nvariants: [{name: a, laod: 2}]\n", "did you mean 'load'?");
    says("fleet: fleet.yaml\nvariants: [{name: a, load: 0}]\n", "a number from 0.01 to 1000");
}

TEST_F(Trials, VariantsMeetTheSameMessagesAndADifferenceShows) {
    const auto file =
        put("e.yaml",
            "name: more <load>\nfleet: fleet.yaml\nfor: 20 s\nrepeats: 5\non: [model]\nvariants:\n"
            "  - {name: as it is}\n  - {name: the same}\n  - {name: twice, load: 2.5}\n");
    experiment::Options how;
    how.lab = options();
    int lines = 0;
    how.progress = [&](const std::string&) { ++lines; };
    const auto outcome = experiment::play(experiment::read(file), how);
    EXPECT_EQ(lines, 15);
    EXPECT_EQ(outcome.difference(1, false).mean, 0);
    EXPECT_EQ(outcome.difference(1, false).most, 0);
    EXPECT_LT(outcome.difference(2, false).most, 0);
    const auto out = (folder_ / "out").string();
    experiment::write(outcome, out);
    std::ifstream json(out + "/results.json");
    Json::Value root;
    json >> root;
    EXPECT_EQ(root["runs"].size(), 15u);
    EXPECT_EQ(root["variants"].size(), 3u);
    std::stringstream page;
    page << std::ifstream(out + "/report.html").rdbuf();
    const auto html = page.str();
    EXPECT_NE(html.find("<svg"), std::string::npos);
    EXPECT_NE(html.find("prefers-color-scheme:dark"), std::string::npos);
    EXPECT_NE(html.find("more &lt;load&gt;"), std::string::npos);
    for (const char* outside : {"http:", "https:", "src=", "@import", "url("})
        EXPECT_EQ(html.find(outside), std::string::npos) << outside;
}

TEST_F(Trials, ADayOfADescribedFleetWithRealSenders) {
    const auto file = put("e.yaml", "fleet: fleet.yaml\nrepeats: 1\nvariants:\n  - {name: as it is}\n");
    experiment::Options how;
    how.lab = options();
    std::vector<lab::Live> seen;
    how.live = [&](const lab::Live& live) { seen.push_back(live); };
    const auto outcome = experiment::play(experiment::read(file), how);
    ASSERT_EQ(outcome.runs.size(), 2u);
    EXPECT_TRUE(outcome.kept()) << experiment::text(outcome);
    EXPECT_EQ(outcome.runs[0].messages, outcome.runs[1].messages);
    EXPECT_EQ(outcome.runs[1].delivered, outcome.runs[1].messages);
    EXPECT_FALSE(seen.empty());
    EXPECT_EQ(seen.back().partners.size(), 2u);
    EXPECT_EQ(seen.back().partners[1].name, "b");
    EXPECT_GT(seen.back().ledger.calls, 0u);
}

TEST_F(Trials, ALostZoneTakesItsEndpointsAndIsFollowedByAColdReturn) {
    auto d = fleet::readFile((folder_ / "fleet.yaml").string());
    d.load.span = 6s;
    using Kind = model::Trouble::Kind;
    d.troubles = {{Kind::zoneLost, 1s, 1, 1}, {Kind::slow, 1s, 0, 2}, {Kind::zoneBack, 4s, 1, 1}};
    const auto report = lab::play(agree::scenario(d, 1, 3), options());
    EXPECT_TRUE(report.clean()) << report.text();
    EXPECT_EQ(report.messages, d.messages(1, 3).size());
    EXPECT_GT(report.delivered, report.messages * 8 / 10);
    EXPECT_EQ(report.partners.size(), 2u);
}

TEST(View, BarsAndPlainLines) {
    EXPECT_EQ(view::bar(0.5, 4), "[##--]");
    EXPECT_EQ(view::bar(7, 2), "[##]");
    EXPECT_EQ(view::bar(-1, 2), "[--]");
    view::View plain(true);
    EXPECT_TRUE(plain.plain());
}

}  // namespace
