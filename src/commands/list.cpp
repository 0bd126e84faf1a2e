#include "commands/list.hpp"

#include <json/value.h>
#include <json/writer.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <ostream>
#include <sstream>
#include <vector>

#include "kept/kept.hpp"
#include "listing/listing.hpp"

namespace laurelhaven::commands {
namespace {

using trust::RecordMs;

bool readFile(const std::string& path, std::string& text) {
    std::ifstream file(path, std::ios::binary);
    if (!file) return false;
    std::ostringstream all;
    all << file.rdbuf();
    text = all.str();
    return true;
}

/// What can be used of the file; says on `err` what is wrong with it. False where there is nothing.
bool load(const ListFile& file, kept::LoadResult& loaded, std::ostream& err) {
    std::string bytes;
    if (!readFile(file.path, bytes)) {
        err << "laurelhaven: " << file.path
            << ": there is no kept list; name one with --file, or the folder in "
            << "BALANCER_STATE\n";
        return false;
    }
    loaded = kept::parse(bytes, file.sender, file.now);
    if (loaded.state != kept::FileState::good)
        err << "laurelhaven: " << file.path << ": " << kept::name(loaded.state)
            << (loaded.problem.empty() ? "" : ": " + loaded.problem) << '\n';
    return !loaded.list.entries.empty() || loaded.state == kept::FileState::good;
}

membership::Membership merged(kept::SavedEndpointList image, const settings::Settings& settings) {
    membership::Membership list(settings.roster.membership);
    list.restore(image.index, image.epoch, image.churn);
    for (auto& [name, entry] : image.entries) list.restore(std::move(entry));
    return list;
}

std::string text(const Json::Value& value, const char* indent = "  ") {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = indent;
    builder["emitUTF8"] = true;
    builder["precision"] = 6;
    return Json::writeString(builder, value);
}

}  // namespace

int listShow(const ListFile& file, const settings::Settings& settings, bool json, std::ostream& out,
             std::ostream& err) {
    kept::LoadResult loaded;
    if (!load(file, loaded, err)) return 2;
    const auto standings = loaded.list.destinationHealth;
    const auto written = loaded.list.writtenAt;
    const auto sender = loaded.list.sender;
    const auto list = merged(std::move(loaded.list), settings);
    const auto age = trust::milliseconds(std::max<RecordMs>(0, file.now - written));
    if (json) {
        Json::Value root;
        root["sender"] = sender;
        root["state"] = kept::name(loaded.state);
        root["index"] = Json::UInt64(list.index());
        root["written_ms"] = Json::Int64(written);
        root["half_life_ms"] = Json::Int64(list.halfLife().count());
        root["endpoints"] = Json::arrayValue;
        for (const auto& entry : list.entries()) {
            const auto judged = list.assess(*entry, file.now);
            auto one = listing::toJson(entry->endpoint);
            one["trust"] = trust::name(judged.level);
            one["figure"] = judged.confidence;
            one["age_ms"] = Json::Int64(judged.age.count());
            one["confirmed_by"] = trust::name(entry->confirmedBy);
            one["against"] = trust::name(entry->refutation);
            one["index"] = Json::UInt64(entry->index);
            one["calls"] = entry->deliveries;
            root["endpoints"].append(one);
        }
        root["destinations"] = Json::arrayValue;
        for (const auto& [destination, s] : standings) {
            Json::Value one;
            one["group"] = Json::UInt64(destination);
            one["down"] = s.down;
            one["cold_since_ms"] = Json::Int64(s.recoveredAt);
            one["outage_ms"] = Json::Int64(s.lastOutageAt);
            one["told_rate"] = s.rateLimit;
            root["destinations"].append(one);
        }
        out << text(root) << '\n';
        return 0;
    }
    out << fmt::format("list of {} at index {}, written {} ago, half-life {}\n\n", sender, list.index(),
                       trust::formatDuration(age), trust::formatDuration(list.halfLife()));
    out << fmt::format("{:<20} {:<21} {:>6} {:<10} {:>6} {:>12} {:<13} {:<13} {:>8}\n", "endpoint", "address",
                       "group", "trust", "figure", "age", "by", "against", "calls");
    for (const auto& entry : list.entries()) {
        const auto judged = list.assess(*entry, file.now);
        out << fmt::format("{:<20} {:<21} {:>6} {:<10} {:>6.3f} {:>12} {:<13} {:<13} {:>8.0f}\n",
                           entry->endpoint.name, entry->endpoint.address, entry->endpoint.destination,
                           trust::name(judged.level), judged.confidence, trust::formatDuration(judged.age),
                           trust::name(entry->confirmedBy), trust::name(entry->refutation),
                           entry->deliveries);
    }
    bool any = false;
    for (const auto& [destination, s] : standings) {
        if (!s.down && s.recoveredAt == 0 && s.rateLimit == 0) continue;
        if (!any) out << "\ndestinations that stand out:\n";
        any = true;
        out << fmt::format("  {}:", destination);
        if (s.down)
            out << fmt::format(
                " down, last seen {} ago;",
                trust::formatDuration(trust::milliseconds(std::max<RecordMs>(0, file.now - s.lastOutageAt))));
        if (s.recoveredAt > 0)
            out << fmt::format(
                " back for {};",
                trust::formatDuration(trust::milliseconds(std::max<RecordMs>(0, file.now - s.recoveredAt))));
        if (s.rateLimit > 0) out << fmt::format(" takes {:.2f}/s from all senders;", s.rateLimit);
        out << '\n';
    }
    return 0;
}

int listExplain(const ListFile& file, const settings::Settings& settings, const std::string& endpoint,
                std::ostream& out, std::ostream& err) {
    kept::LoadResult loaded;
    if (!load(file, loaded, err)) return 2;
    const auto list = merged(std::move(loaded.list), settings);
    const auto* entry = list.find(endpoint);
    if (!entry) {
        err << "laurelhaven: " << file.path << " holds no endpoint '" << endpoint
            << "': it was never told, or its tombstone is forgotten; `list show` names those that are "
               "there\n";
        return 1;
    }
    const auto judged = list.assess(*entry, file.now);
    out << endpoint << " of destination " << entry->endpoint.destination << " at " << entry->endpoint.address
        << ", told at index " << entry->index << " (the list is at " << list.index() << ")\n"
        << trust::explain(list.evidence(*entry), judged, settings.roster.membership.trust, list.halfLife())
        << '\n';
    if (judged.validUntil > file.now)
        out << "time alone changes that in "
            << trust::formatDuration(trust::milliseconds(judged.validUntil - file.now)) << '\n';
    for (const auto* other : list.endpointsOf(entry->endpoint.destination))
        if (other != entry)
            out << "its destination also has " << other->endpoint.name << ": "
                << trust::name(list.assess(*other, file.now).level) << '\n';
    return 0;
}

int listCheck(const ListFile& file, bool json, std::ostream& out, std::ostream& err) {
    std::string bytes;
    if (!readFile(file.path, bytes)) {
        err << "laurelhaven: " << file.path << ": can't be read\n";
        return 2;
    }
    const auto loaded = kept::parse(bytes, file.sender, file.now);
    const bool good = loaded.state == kept::FileState::good && !loaded.writtenInFuture;
    if (json) {
        Json::Value root;
        root["file"] = file.path;
        root["state"] = kept::name(loaded.state);
        root["what"] = loaded.problem;
        root["written_ahead_of_the_clock"] = loaded.writtenInFuture;
        root["bytes"] = Json::UInt64(loaded.bytes);
        root["records"] = Json::UInt64(loaded.records);
        root["endpoints"] = Json::UInt64(loaded.list.entries.size());
        root["good"] = good;
        out << text(root) << '\n';
        return good ? 0 : 1;
    }
    out << file.path << ": " << kept::name(loaded.state) << ", " << loaded.bytes << " bytes, "
        << loaded.records << " records, " << loaded.list.entries.size() << " endpoints\n";
    if (!loaded.problem.empty()) out << "  " << loaded.problem << "; a start uses the rest\n";
    if (loaded.writtenInFuture) out << "  it was written later than now: the clock was set back\n";
    return good ? 0 : 1;
}

int listExport(const ListFile& file, std::ostream& out, std::ostream& err) {
    kept::LoadResult loaded;
    if (!load(file, loaded, err)) return 2;
    Json::Value root;
    root["index"] = Json::UInt64(loaded.list.index);
    root["snapshot"] = true;
    root["endpoints"] = Json::arrayValue;
    for (const auto& [name, entry] : loaded.list.entries)
        if (entry.refutation == trust::RefutationReason::none)
            root["endpoints"].append(listing::toJson(entry.endpoint));
    out << text(root) << '\n';
    return 0;
}

int listImport(const ListFile& file, const std::string& from, std::uint64_t budget, std::ostream& out,
               std::ostream& err) {
    if (file.sender.empty()) {
        err << "laurelhaven: whose list is it? Set BALANCER_NAME or give --name\n";
        return 2;
    }
    std::string bytes, why;
    if (!readFile(from, bytes)) {
        err << "laurelhaven: " << from << ": can't be read\n";
        return 2;
    }
    const auto listed = listing::parse(bytes, why);
    if (!listed || !listed->snapshot) {
        err << "laurelhaven: " << from
            << ": not a whole list in discovery's form: " << (listed ? "\"snapshot\" is not true" : why)
            << '\n';
        return 2;
    }
    membership::Membership list{membership::Policy{}};
    std::string old;
    if (readFile(file.path, old)) {
        auto image = kept::parse(old, file.sender, file.now).list;
        list.restore(image.index, image.epoch, image.churn);
        for (auto& [name, entry] : image.entries) list.restore(std::move(entry));
    }
    list.applyConfiguration(*listed, file.now);
    std::vector<std::string> records;
    for (const auto& entry : list.entries()) records.push_back(kept::encode(*entry));
    std::size_t left = 0;
    kept::SavedEndpointListFile target(std::filesystem::path(file.path).parent_path().string(), budget,
                                       file.sender);
    if (target.path() != file.path) {
        err << "laurelhaven: a kept list is always called "
            << std::filesystem::path(target.path()).filename().string() << '\n';
        return 2;
    }
    if (!target.replace(records, kept::encodeListState(list.index(), list.epoch(), list.churn(), 0), file.now,
                        left)) {
        err << "laurelhaven: " << file.path << ": can't be written\n";
        return 2;
    }
    out << file.path << ": " << records.size() - left << " entries at index " << list.index() << ", "
        << list.tombstoneCount() << " of them gone"
        << (left > 0 ? ", " + std::to_string(left) + " had no room" : "") << '\n';
    return left > 0 ? 1 : 0;
}

}  // namespace laurelhaven::commands
