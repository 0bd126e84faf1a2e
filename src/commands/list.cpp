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
bool load(const ListFile& file, kept::Loaded& loaded, std::ostream& err) {
    std::string bytes;
    if (!readFile(file.path, bytes)) {
        err << "laurelhaven: " << file.path
            << ": there is no kept list; name one with --file, or the folder in "
            << "BALANCER_STATE\n";
        return false;
    }
    loaded = kept::read(bytes, file.sender, file.now);
    if (loaded.state != kept::State::good)
        err << "laurelhaven: " << file.path << ": " << kept::name(loaded.state)
            << (loaded.what.empty() ? "" : ": " + loaded.what) << '\n';
    return !loaded.image.entries.empty() || loaded.state == kept::State::good;
}

membership::Membership merged(kept::Image image, const settings::Settings& settings) {
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
    kept::Loaded loaded;
    if (!load(file, loaded, err)) return 2;
    const auto standings = loaded.image.standings;
    const auto written = loaded.image.writtenAt;
    const auto sender = loaded.image.sender;
    const auto list = merged(std::move(loaded.image), settings);
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
            const auto judged = list.judge(*entry, file.now);
            auto one = listing::form(entry->is);
            one["trust"] = trust::name(judged.level);
            one["figure"] = judged.figure;
            one["age_ms"] = Json::Int64(judged.age.count());
            one["confirmed_by"] = trust::name(entry->by);
            one["against"] = trust::name(entry->against);
            one["index"] = Json::UInt64(entry->index);
            one["calls"] = entry->traffic;
            root["endpoints"].append(one);
        }
        root["destinations"] = Json::arrayValue;
        for (const auto& [destination, s] : standings) {
            Json::Value one;
            one["group"] = Json::UInt64(destination);
            one["down"] = s.down;
            one["cold_since_ms"] = Json::Int64(s.coldSince);
            one["outage_ms"] = Json::Int64(s.outageAt);
            one["told_rate"] = s.told;
            root["destinations"].append(one);
        }
        out << text(root) << '\n';
        return 0;
    }
    out << fmt::format("list of {} at index {}, written {} ago, half-life {}\n\n", sender, list.index(),
                       trust::span(age), trust::span(list.halfLife()));
    out << fmt::format("{:<20} {:<21} {:>6} {:<10} {:>6} {:>12} {:<13} {:<13} {:>8}\n", "endpoint", "address",
                       "group", "trust", "figure", "age", "by", "against", "calls");
    for (const auto& entry : list.entries()) {
        const auto judged = list.judge(*entry, file.now);
        out << fmt::format("{:<20} {:<21} {:>6} {:<10} {:>6.3f} {:>12} {:<13} {:<13} {:>8.0f}\n",
                           entry->is.name, entry->is.address, entry->is.group, trust::name(judged.level),
                           judged.figure, trust::span(judged.age), trust::name(entry->by),
                           trust::name(entry->against), entry->traffic);
    }
    bool any = false;
    for (const auto& [destination, s] : standings) {
        if (!s.down && s.coldSince == 0 && s.told == 0) continue;
        if (!any) out << "\ndestinations that stand out:\n";
        any = true;
        out << fmt::format("  {}:", destination);
        if (s.down)
            out << fmt::format(
                " down, last seen {} ago;",
                trust::span(trust::milliseconds(std::max<RecordMs>(0, file.now - s.outageAt))));
        if (s.coldSince > 0)
            out << fmt::format(
                " back for {};",
                trust::span(trust::milliseconds(std::max<RecordMs>(0, file.now - s.coldSince))));
        if (s.told > 0) out << fmt::format(" takes {:.2f}/s from all senders;", s.told);
        out << '\n';
    }
    return 0;
}

int listExplain(const ListFile& file, const settings::Settings& settings, const std::string& endpoint,
                std::ostream& out, std::ostream& err) {
    kept::Loaded loaded;
    if (!load(file, loaded, err)) return 2;
    const auto list = merged(std::move(loaded.image), settings);
    const auto* entry = list.find(endpoint);
    if (!entry) {
        err << "laurelhaven: " << file.path << " holds no endpoint '" << endpoint
            << "': it was never told, or its tombstone is forgotten; `list show` names those that are "
               "there\n";
        return 1;
    }
    const auto judged = list.judge(*entry, file.now);
    out << endpoint << " of destination " << entry->is.group << " at " << entry->is.address
        << ", told at index " << entry->index << " (the list is at " << list.index() << ")\n"
        << trust::explain(list.evidence(*entry), judged, settings.roster.membership.trust, list.halfLife())
        << '\n';
    if (judged.until > file.now)
        out << "time alone changes that in " << trust::span(trust::milliseconds(judged.until - file.now))
            << '\n';
    for (const auto* other : list.of(entry->is.group))
        if (other != entry)
            out << "its destination also has " << other->is.name << ": "
                << trust::name(list.judge(*other, file.now).level) << '\n';
    return 0;
}

int listCheck(const ListFile& file, bool json, std::ostream& out, std::ostream& err) {
    std::string bytes;
    if (!readFile(file.path, bytes)) {
        err << "laurelhaven: " << file.path << ": can't be read\n";
        return 2;
    }
    const auto loaded = kept::read(bytes, file.sender, file.now);
    const bool good = loaded.state == kept::State::good && !loaded.ahead;
    if (json) {
        Json::Value root;
        root["file"] = file.path;
        root["state"] = kept::name(loaded.state);
        root["what"] = loaded.what;
        root["written_ahead_of_the_clock"] = loaded.ahead;
        root["bytes"] = Json::UInt64(loaded.bytes);
        root["records"] = Json::UInt64(loaded.records);
        root["endpoints"] = Json::UInt64(loaded.image.entries.size());
        root["good"] = good;
        out << text(root) << '\n';
        return good ? 0 : 1;
    }
    out << file.path << ": " << kept::name(loaded.state) << ", " << loaded.bytes << " bytes, "
        << loaded.records << " records, " << loaded.image.entries.size() << " endpoints\n";
    if (!loaded.what.empty()) out << "  " << loaded.what << "; a start uses the rest\n";
    if (loaded.ahead) out << "  it was written later than now: the clock was set back\n";
    return good ? 0 : 1;
}

int listExport(const ListFile& file, std::ostream& out, std::ostream& err) {
    kept::Loaded loaded;
    if (!load(file, loaded, err)) return 2;
    Json::Value root;
    root["index"] = Json::UInt64(loaded.image.index);
    root["snapshot"] = true;
    root["endpoints"] = Json::arrayValue;
    for (const auto& [name, entry] : loaded.image.entries)
        if (entry.against == trust::Against::nothing) root["endpoints"].append(listing::form(entry.is));
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
    if (!listed || !listed->whole) {
        err << "laurelhaven: " << from
            << ": not a whole list in discovery's form: " << (listed ? "\"snapshot\" is not true" : why)
            << '\n';
        return 2;
    }
    membership::Membership list{membership::Policy{}};
    std::string old;
    if (readFile(file.path, old)) {
        auto image = kept::read(old, file.sender, file.now).image;
        list.restore(image.index, image.epoch, image.churn);
        for (auto& [name, entry] : image.entries) list.restore(std::move(entry));
    }
    list.configured(*listed, file.now);
    std::vector<std::string> records;
    for (const auto& entry : list.entries()) records.push_back(kept::record(*entry));
    std::size_t left = 0;
    kept::File target(std::filesystem::path(file.path).parent_path().string(), budget, file.sender);
    if (target.path() != file.path) {
        err << "laurelhaven: a kept list is always called "
            << std::filesystem::path(target.path()).filename().string() << '\n';
        return 2;
    }
    if (!target.replace(records, kept::mark(list.index(), list.epoch(), list.churn(), 0), file.now, left)) {
        err << "laurelhaven: " << file.path << ": can't be written\n";
        return 2;
    }
    out << file.path << ": " << records.size() - left << " entries at index " << list.index() << ", "
        << list.tombstones() << " of them gone"
        << (left > 0 ? ", " + std::to_string(left) + " had no room" : "") << '\n';
    return left > 0 ? 1 : 0;
}

}  // namespace laurelhaven::commands
