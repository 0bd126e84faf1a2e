// Our own settings: the defaults, what each key does, and that each error names line, key and remedy.
#include "settings/settings.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace {

using namespace laurelhaven;
using namespace std::chrono_literals;

std::string error(const std::string& yaml) {
    try {
        settings::fromText(yaml, "f.yaml");
    } catch (const settings::Bad& e) {
        return e.what();
    }
    return "";
}

TEST(Settings, TheFileThatShipsHoldsTheDefaults) {
    std::ifstream file(SETTINGS);
    std::ostringstream text;
    text << file.rdbuf();
    ASSERT_FALSE(text.str().empty());
    const auto read = settings::fromText(text.str(), SETTINGS);
    const settings::Settings plain;
    const auto &a = read.roster, &b = plain.roster;
    EXPECT_EQ(read.level, plain.level);
    EXPECT_EQ(a.diskShare, b.diskShare);
    EXPECT_EQ(a.writeEvery, b.writeEvery);
    EXPECT_EQ(a.confirmEvery, b.confirmEvery);
    EXPECT_EQ(a.outageMemory, b.outageMemory);
    EXPECT_EQ(a.probeTimeout, b.probeTimeout);
    EXPECT_EQ(a.strangerFactor, b.strangerFactor);
    EXPECT_EQ(a.probes.perSecond, b.probes.perSecond);
    EXPECT_EQ(a.probes.coldShare, b.probes.coldShare);
    EXPECT_EQ(a.probes.jitter, b.probes.jitter);
    EXPECT_EQ(a.probes.backOff, b.probes.backOff);
    EXPECT_EQ(a.probes.backOffMost, b.probes.backOffMost);
    const auto &m = a.membership, &n = b.membership;
    EXPECT_EQ(m.shrinkShare, n.shrinkShare);
    EXPECT_EQ(m.shrinkLeast, n.shrinkLeast);
    EXPECT_EQ(m.shrinkHold, n.shrinkHold);
    EXPECT_EQ(m.tombstoneHold, n.tombstoneHold);
    EXPECT_EQ(m.tombstoneAge, n.tombstoneAge);
    EXPECT_EQ(m.tombstones, n.tombstones);
    EXPECT_EQ(m.trust.confirmedFor, n.trust.confirmedFor);
    EXPECT_EQ(m.trust.confirmedAbove, n.trust.confirmedAbove);
    EXPECT_EQ(m.trust.staleBelow, n.trust.staleBelow);
    EXPECT_EQ(m.trust.halfLife, n.trust.halfLife);
    EXPECT_EQ(m.trust.halfLifeLeast, n.trust.halfLifeLeast);
    EXPECT_EQ(m.trust.halfLifeMost, n.trust.halfLifeMost);
    EXPECT_EQ(m.trust.maxAge, n.trust.maxAge);
    EXPECT_EQ(m.trust.blindLimit, n.trust.blindLimit);
    EXPECT_EQ(m.trust.configuredAge, n.trust.configuredAge);
    EXPECT_EQ(read.capture.enabled, plain.capture.enabled);
    EXPECT_EQ(read.capture.fileBytes, plain.capture.fileBytes);
    EXPECT_EQ(read.capture.files, plain.capture.files);
    EXPECT_EQ(read.capture.buffer, plain.capture.buffer);
    EXPECT_EQ(read.capture.flushEvery, plain.capture.flushEvery);
    EXPECT_EQ(read.registry.longestLine, 2000000u);
    EXPECT_EQ(read.registry.pauseMost, plain.registry.pauseMost);
    EXPECT_EQ(read.registry.fleetRate, plain.registry.fleetRate);
}

TEST(Settings, ValuesAreReadWithTheirUnits) {
    const auto s = settings::fromText(
        "kept-list: {disk-share: 12.5%, write-every: 250 ms}\n"
        "trust: {half-life: 1.5 h, max-age: 2 d}\n"
        "discovery: {longest-line: 16 MB}\n"
        "probes: {rate: 0.5/s, enabled: false}\nlog: {level: off, format: json}\n",
        "f.yaml");
    EXPECT_EQ(s.roster.diskShare, 0.125);
    EXPECT_EQ(s.roster.writeEvery, 250ms);
    EXPECT_EQ(s.roster.membership.trust.halfLife, 90min);
    EXPECT_EQ(s.roster.membership.trust.maxAge, 48h);
    EXPECT_EQ(s.registry.longestLine, 16000000u);
    EXPECT_EQ(s.roster.probes.perSecond, 0.5);
    EXPECT_FALSE(s.roster.probesEnabled);
    EXPECT_EQ(s.level, log::Level::off);
    EXPECT_EQ(s.format, log::Format::json);
}

TEST(Settings, EveryErrorNamesFileLineKeyAndWhatWouldBeRight) {
    const struct {
        const char *yaml, *where, *key, *remedy;
    } cases[] = {
        {"trust:\n  half-lif: 6 h\n", "f.yaml:2:", "trust.half-lif", "'half-life'"},
        {"log:\n  level: info\ntrsut: {}\n", "f.yaml:3:", "trsut", "'trust'"},
        {"trust:\n\n  half-life: 6 hours\n", "f.yaml:3:", "trust.half-life", "250 ms"},
        {"trust: {max-age: 3600}\n", "f.yaml:1:", "trust.max-age", "with its unit"},
        {"capture:\n  enabled: true\n", "f.yaml:2:", "enabled", "'folder' names no place"},
        {"capture:\n  file-size: 16\n", "f.yaml:2:", "capture.file-size", "16 MB"},
        {"probes:\n  rate: 4\n", "f.yaml:2:", "probes.rate", "4/s"},
        {"probes:\n  enabled: 'true'\n", "f.yaml:2:", "probes.enabled", "true or false"},
        {"kept-list:\n  tombstones: 3\n", "f.yaml:2:", "kept-list.tombstones", "16 to 1000000"},
        {"log:\n  level: loud\n", "f.yaml:2:", "log.level", "debug, info"},
        {"trust: 5\n", "f.yaml:1:", "trust", "a map"},
        {"- a\n", "f.yaml:1:", "no map", "kept-list"},
        {"trust:\n  max-age: 1 d\n  max-age: 2 d\n", "f.yaml:3:", "trust.max-age", "twice"},
        {"trust: [1\n", "f.yaml:", "YAML", ""},
        {"kept-list:\n  disk-share: 60%\n", "f.yaml:2:", "disk-share", "journal"},
        {"trust:\n  stale-below: 95%\n", "f.yaml:2:", "stale-below", "confirmed-above"},
        {"discovery:\n  pause-least: 1 ms\n", "f.yaml:2:", "pause-least", "polling"},
        {"discovery:\n  fleet-rate: 0/s\n", "f.yaml:2:", "fleet-rate", "too late"},
        {"probes:\n  cold-share: 50%\n", "f.yaml:2:", "cold-share", "cold partner"},
    };
    for (const auto& c : cases) {
        const auto said = error(c.yaml);
        EXPECT_EQ(said.rfind(c.where, 0), 0u) << c.yaml << said;
        EXPECT_NE(said.find(c.key), std::string::npos) << said;
        EXPECT_NE(said.find(c.remedy), std::string::npos) << said;
    }
}

TEST(Settings, NothingMeansDefaults) {
    EXPECT_EQ(error(""), "");
    EXPECT_EQ(error("# only a word\n"), "");
    EXPECT_TRUE(settings::fromFile("").roster.saveList);
    EXPECT_THROW(settings::fromFile("/nowhere/at/all.yaml"), settings::Bad);
}

}  // namespace
