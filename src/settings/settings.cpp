#include "settings/settings.hpp"

#include <algorithm>

#include "settings/schema.hpp"
#include "yaml/checked.hpp"

namespace laurelhaven::settings {

using std::chrono::milliseconds;

Settings fromText(const std::string& text, const std::string& name) {
    Settings s;
    const auto root = yaml::checked(text, name, kSchema);
    if (!root) return s;
    const yaml::Section log(root, "log"), kept(root, "kept-list"), trust(root, "trust"),
        discovery(root, "discovery"), probes(root, "probes"), capture(root, "capture");
    std::string level, format;
    log.plain("level", level).plain("format", format);
    if (!level.empty()) s.level = *log::parseLevel(level);
    if (format == "json") s.format = log::Format::json;
    auto& members = s.roster.membership;
    kept.plain("enabled", s.roster.saveList)
        .take("disk-share", s.roster.diskShare, yaml::share)
        .take("write-every", s.roster.writeEvery, yaml::time)
        .take("confirm-every", s.roster.confirmEvery, yaml::time)
        .take("outage-memory", s.roster.outageMemory, yaml::time)
        .plain("tombstones", members.tombstones)
        .take("tombstone-age", members.tombstoneAge, yaml::time)
        .take("tombstone-hold", members.tombstoneHold, yaml::time);
    trust.take("confirmed-for", members.trust.confirmedFor, yaml::time)
        .take("confirmed-above", members.trust.confirmedAbove, yaml::share)
        .take("stale-below", members.trust.staleBelow, yaml::share)
        .take("half-life", members.trust.halfLife, yaml::time)
        .take("half-life-least", members.trust.halfLifeLeast, yaml::time)
        .take("half-life-most", members.trust.halfLifeMost, yaml::time)
        .take("max-age", members.trust.maxAge, yaml::time)
        .take("blind-limit", members.trust.blindLimit, yaml::time)
        .take("configured-age", members.trust.configuredAge, yaml::time);
    discovery.take("longest-line", s.registry.longestLine, yaml::size)
        .take("pause-least", s.registry.pauseLeast, yaml::time)
        .take("pause-most", s.registry.pauseMost, yaml::time)
        .take("fleet-rate", s.registry.fleetRate, yaml::rate)
        .take("shrink-share", members.shrinkShare, yaml::share)
        .plain("shrink-least", members.shrinkLeast)
        .take("shrink-hold", members.shrinkHold, yaml::time);
    probes.plain("enabled", s.roster.probesEnabled)
        .take("rate", s.roster.probes.perSecond, yaml::rate)
        .take("cold-share", s.roster.probes.coldShare, yaml::share)
        .take("jitter", s.roster.probes.jitter, yaml::time)
        .take("timeout", s.roster.probeTimeout, yaml::time)
        .take("back-off", s.roster.probes.backOff, yaml::time)
        .take("back-off-most", s.roster.probes.backOffMost, yaml::time)
        .plain("stranger-factor", s.roster.strangerFactor);
    capture.plain("enabled", s.capture.enabled)
        .plain("folder", s.capture.folder)
        .take("file-size", s.capture.fileBytes, yaml::size)
        .plain("files", s.capture.files)
        .plain("buffer", s.capture.buffer)
        .take("flush-every", s.capture.flushEvery, yaml::time);
    // What no key alone can show.
    const auto most = [&](bool wrong, const yaml::Section& in, const char* key, const char* what) {
        if (wrong) yaml::bad(name, in.mark(key), std::string("'") + key + "' " + what);
    };
    most(s.roster.diskShare > 0.5, kept, "disk-share",
         "is over 50%, and the journal needs the most of the disk");
    most(s.roster.writeEvery < milliseconds(100), kept, "write-every",
         "is under 100 ms: writes must stay rare");
    most(members.trust.halfLifeLeast > members.trust.halfLifeMost, trust, "half-life-least",
         "is more than half-life-most");
    most(members.trust.staleBelow >= members.trust.confirmedAbove, trust, "stale-below",
         "is not under confirmed-above");
    most(members.trust.confirmedAbove > 1, trust, "confirmed-above", "is over 100%");
    most(members.trust.staleBelow <= 0, trust, "stale-below", "is 0%: then nothing would ever be stale");
    most(s.registry.pauseLeast < milliseconds(10), discovery, "pause-least",
         "is under 10 ms: that is polling");
    most(s.registry.pauseLeast > s.registry.pauseMost, discovery, "pause-least", "is more than pause-most");
    most(s.registry.fleetRate < 0.1, discovery, "fleet-rate", "is under 0.1/s: news would come too late");
    most(members.shrinkShare > 1, discovery, "shrink-share", "is over 100%");
    most(s.registry.longestLine < 65536, discovery, "longest-line", "is under 64 KB");
    most(s.roster.probes.coldShare > 0.25, probes, "cold-share",
         "is over 25%: with the calls it would come too near to what pushes a cold partner over");
    most(s.roster.probes.perSecond <= 0, probes, "rate", "is 0/s; set enabled: false instead");
    most(s.roster.probeTimeout < milliseconds(10), probes, "timeout", "is under 10 ms");
    most(s.roster.probes.backOff > s.roster.probes.backOffMost, probes, "back-off",
         "is more than back-off-most");
    most(s.capture.enabled && s.capture.folder.empty(), capture, "enabled",
         "is true, and 'folder' names no place for the files");
    most(s.capture.fileBytes < 65536, capture, "file-size", "is under 64 KB");
    most(s.capture.flushEvery < milliseconds(100), capture, "flush-every",
         "is under 100 ms: writes must stay rare");
    return s;
}

Settings fromFile(const std::string& path) {
    if (path.empty()) return {};
    return fromText(yaml::readFile(path), path);
}

void fit(Settings& s, const config::Config& config) {
    const auto& platform = config.settings;
    s.roster.membership.trust.mayProbe = config.mayProbe && s.roster.probesEnabled;
    s.roster.membership.trust.senders = platform.senders;
    s.roster.membership.trust.probeSpread = s.roster.probes.jitter;
    s.roster.probes.senders = platform.senders;
    s.registry.senders = platform.senders;
    s.registry.drainGrace = config.drainGrace;
    s.roster.probes.coldBudget = platform.overloadMultiple > 0
                                     ? std::min(1.0, platform.overloadMultiple * platform.coldCapacityShare)
                                     : 1.0;
}

}  // namespace laurelhaven::settings
