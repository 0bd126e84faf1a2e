#include "commands/trace.hpp"

#include <json/value.h>
#include <json/writer.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <list>
#include <memory>
#include <ostream>

#include "trace/file.hpp"
#include "trace/summary.hpp"

namespace laurelhaven::commands {
namespace {

using namespace trace;

/// The files as one stream, with progress.
class Input {
  public:
    Input(const TraceIn& in, bool align, std::ostream& err) : err_(err), progress_(in.progress) {
        std::vector<Merger::Source> sources;
        for (const auto& path : in.files) {
            auto& reader = readers_.emplace_back(path);
            std::error_code error;
            total_ += std::filesystem::file_size(path, error);
            sources.push_back([&reader](Record& record) { return reader.next(record); });
        }
        merged_ = std::make_unique<Merger>(std::move(sources), align);
    }
    bool next(Record& record) {
        if (!merged_->next(record)) return false;
        if (++records_ % 65536 == 0 && progress_) tell();
        return true;
    }
    /// Says what was damaged. The exit status so far.
    int verdict() const {
        int status = 0;
        for (const auto& r : readers_) {
            if (r.damagedBytes() == 0) continue;
            status = 1;
            err_ << "laurelhaven: " << r.path() << ": byte " << r.damagedAt() << ": " << r.damagedBytes()
                 << " bytes can't be read" << (r.cut() ? ", and the file ends inside a block" : "")
                 << "; the rest is used\n";
        }
        return status;
    }
    const Header& header() const { return readers_.front().header(); }
    std::uint64_t records() const { return records_; }
    const std::list<Reader>& readers() const { return readers_; }

  private:
    void tell() {
        const auto now = std::chrono::steady_clock::now();
        if (now < tellAt_) return;
        tellAt_ = now + std::chrono::seconds(1);
        std::uint64_t read = 0;
        for (const auto& r : readers_) read += r.bytesRead();
        err_ << fmt::format("read {} of {} MB, {} records\n", read / 1000000, total_ / 1000000, records_);
    }
    std::ostream& err_;
    bool progress_;
    std::list<Reader> readers_;
    std::uint64_t total_ = 0, records_ = 0;
    std::unique_ptr<Merger> merged_;
    std::chrono::steady_clock::time_point tellAt_ =
        std::chrono::steady_clock::now() + std::chrono::seconds(1);
};

/// Carries a word out; what is wrong with a file goes to `err`.
template <class Work>
int guarded(std::ostream& err, Work work) {
    try {
        return work();
    } catch (const Bad& e) {
        err << "laurelhaven: " << e.what() << '\n';
        return 2;
    }
}

int wrote(const Input& in, const Writer& to, const std::string& path, std::ostream& out) {
    out << fmt::format("{}: {} of {} records\n", path, to.records(), in.records());
    return in.verdict();
}

Json::Value spread(const Spread& s) {
    Json::Value one;
    one["count"] = Json::UInt64(s.count());
    one["mean"] = s.count() > 0 ? s.sum() / static_cast<double>(s.count()) : 0.0;
    for (const auto& [name, q] : {std::pair{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p999", 0.999}})
        one[name] = s.quantile(q);
    one["max"] = s.greatest();
    return one;
}

Json::Value counts(const std::map<std::string, std::uint64_t>& table) {
    Json::Value one(Json::objectValue);
    for (const auto& [name, n] : table) one[name] = Json::UInt64(n);
    return one;
}

Json::Value asJson(const Summary& s, const Input& in) {
    Json::Value root;
    root["files"] = Json::arrayValue;
    for (const auto& r : in.readers()) {
        Json::Value one;
        one["path"] = r.path();
        one["sender"] = r.header().sender;
        one["damaged_bytes"] = Json::UInt64(r.damagedBytes());
        one["cut"] = r.cut();
        root["files"].append(one);
    }
    root["begins_us"] = Json::Int64(s.first());
    root["seconds"] = s.seconds();
    root["records"] = Json::UInt64(s.records);
    root["dropped"] = Json::UInt64(s.dropped);
    root["arrivals"] = Json::UInt64(s.arrivals);
    for (std::size_t i = 0; i < s.verdicts.size(); ++i)
        root["verdicts"][name(static_cast<Verdict>(i))] = Json::UInt64(s.verdicts[i]);
    root["ends"]["delivered"] = Json::UInt64(s.delivered);
    root["ends"]["failed"] = Json::UInt64(s.failed);
    root["ends"]["returned"] = Json::UInt64(s.returned);
    root["per_second"]["mean"] = s.all.mean(s.wholeSeconds());
    root["per_second"]["max"] = Json::UInt64(s.all.greatest());
    root["per_second"]["dispersion"] = s.all.dispersion(s.wholeSeconds());
    root["bytes"] = spread(s.bytes);
    root["deadline_s"] = spread(s.deadlines);
    root["classes"] = counts(s.grades);
    root["tenants"] = counts(s.tenants);
    root["destinations"] = Json::arrayValue;
    for (const auto& [destination, p] : s.partners) {
        Json::Value one;
        one["destination"] = Json::UInt64(destination);
        one["arrivals"] = Json::UInt64(p.arrivals.count());
        one["per_second_max"] = Json::UInt64(p.arrivals.greatest());
        one["dispersion"] = p.arrivals.dispersion(s.wholeSeconds());
        for (std::size_t i = 0; i < kEndings; ++i)
            one["calls"][name(static_cast<Ending>(i))] = Json::UInt64(p.endings[i]);
        one["took_s"] = spread(p.took);
        one["waits"] = Json::UInt64(p.waits);
        one["told_rate_least"] = p.toldLeast;
        one["told_rate_most"] = p.toldMost;
        one["endpoints"] = counts(p.endpoints);
        root["destinations"].append(one);
    }
    return root;
}

std::string ms(double seconds) { return fmt::format("{:.3g}", seconds * 1000); }

void table(const Summary& s, std::ostream& out) {
    const auto seconds = s.wholeSeconds();
    out << fmt::format("{} records over {:.1f} s, {} dropped while capturing\n", s.records, s.seconds(),
                       s.dropped)
        << fmt::format("{} messages: {} taken, {} refused, {} failed at once, {} in conflict\n", s.arrivals,
                       s.verdicts[0], s.verdicts[1], s.verdicts[2], s.verdicts[3])
        << fmt::format("ends: {} delivered, {} failed, {} returned\n", s.delivered, s.failed, s.returned)
        << fmt::format("arrivals a second: mean {:.4g}, most {}, dispersion {:.3g} (1: no clumps)\n",
                       s.all.mean(seconds), s.all.greatest(), s.all.dispersion(seconds))
        << fmt::format("bytes: median {:.0f}, 99% {:.0f}, most {:.0f}\n", s.bytes.quantile(0.5),
                       s.bytes.quantile(0.99), s.bytes.greatest());
    const auto list = [&](const char* what, const auto& names) {
        out << what;
        for (const auto& [name, n] : names) out << ' ' << (name.empty() ? "-" : name) << '=' << n;
        out << '\n';
    };
    list("classes:", s.grades);
    list("tenants:", s.tenants);
    out << fmt::format("\n{:>11} {:>9} {:>6} {:>6} {:>9} {:>7} {:>8} {:>7} {:>9} {:>9} {:>9} {:>11}\n",
                       "destination", "messages", "most/s", "disp", "delivered", "turned", "timeouts",
                       "other", "p50 ms", "p99 ms", "p99.9 ms", "told/s");
    std::vector<std::pair<std::uint64_t, const Partner*>> order;
    for (const auto& [destination, p] : s.partners) order.emplace_back(destination, &p);
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
        return a.second->arrivals.count() + a.second->calls() >
               b.second->arrivals.count() + b.second->calls();
    });
    constexpr std::size_t kShown = 40;
    for (std::size_t i = 0; i < order.size() && i < kShown; ++i) {
        const auto& p = *order[i].second;
        const auto of = [&](Ending e) { return p.endings[static_cast<std::size_t>(e)]; };
        const auto other = p.calls() - of(Ending::delivered) - of(Ending::turnedAway) - of(Ending::timedOut);
        out << fmt::format("{:>11} {:>9} {:>6} {:>6.2f} {:>9} {:>7} {:>8} {:>7} {:>9} {:>9} {:>9} {:>11}\n",
                           order[i].first, p.arrivals.count(), p.arrivals.greatest(),
                           p.arrivals.dispersion(seconds), of(Ending::delivered), of(Ending::turnedAway),
                           of(Ending::timedOut), other, ms(p.took.quantile(0.5)), ms(p.took.quantile(0.99)),
                           ms(p.took.quantile(0.999)),
                           p.toldMost > 0 ? fmt::format("{:.3g}-{:.3g}", p.toldLeast, p.toldMost) : "-");
    }
    if (order.size() > kShown) out << "and " << order.size() - kShown << " more; --json has all\n";
    if (s.unplaced > 0)
        out << s.unplaced << " records of destinations beyond " << Summary::kMostPartners << '\n';
    if (s.backwards > 0)
        out << s.backwards << " records lie before the one in front of them: the clock was set back\n";
}

/// False where gnuplot can't be run or did not like the script.
bool gnuplot(const std::string& script) {
    std::FILE* pipe = popen("gnuplot 2>/dev/null", "w");
    if (!pipe) return false;
    const bool whole = std::fwrite(script.data(), 1, script.size(), pipe) == script.size();
    return pclose(pipe) == 0 && whole;
}

int plot(const Summary& s, const std::string& folder, std::ostream& out, std::ostream& err) {
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error || folder.find_first_of("'\n") != std::string::npos) {
        err << "laurelhaven: " << folder << ": can't be made"
            << (error ? ": " + error.message() : std::string(", choose another name")) << '\n';
        return 2;
    }
    const auto head = [&](const char* file, const char* title, const char* x, const char* y) {
        return fmt::format(
            "set terminal svg size 900,420 dynamic background rgb 'white'\nset output '{}/{}.svg'\nset title "
            "'{}'\n"
            "set xlabel '{}'\nset ylabel '{}'\nset grid\n",
            folder, file, title, x, y);
    };
    std::string rate = head("rate", "Messages handed in", "seconds", "messages a second") + "$d << EOD\n";
    for (std::size_t i = 0; i < s.series.counts().size(); ++i)
        rate += fmt::format("{} {}\n", static_cast<double>(i) * s.series.step(),
                            static_cast<double>(s.series.counts()[i]) / s.series.step());
    rate += "EOD\nset yrange [0:*]\nplot $d using 1:2 with steps notitle\n";
    std::vector<std::pair<std::uint64_t, const Partner*>> busy, clumpy;
    for (const auto& [destination, p] : s.partners) {
        if (p.took.count() >= 20) busy.emplace_back(destination, &p);
        if (p.arrivals.count() >= 20) clumpy.emplace_back(destination, &p);
    }
    std::sort(busy.begin(), busy.end(),
              [](const auto& a, const auto& b) { return a.second->took.count() > b.second->took.count(); });
    const auto seconds = s.wholeSeconds();
    std::sort(clumpy.begin(), clumpy.end(), [&](const auto& a, const auto& b) {
        return a.second->arrivals.dispersion(seconds) > b.second->arrivals.dispersion(seconds);
    });
    busy.resize(std::min<std::size_t>(busy.size(), 8));
    clumpy.resize(std::min<std::size_t>(clumpy.size(), 20));
    int drawn = 0;
    const auto draw = [&](const std::string& script) {
        if (!gnuplot(script)) return false;
        ++drawn;
        return true;
    };
    bool good = s.arrivals == 0 || draw(rate);
    if (good && !busy.empty()) {
        std::string tail =
            head("tail", "Answer times of the busiest partners", "milliseconds", "share that took longer") +
            "set logscale xy\n";
        std::string plots;
        for (const auto& [destination, p] : busy) {
            tail += fmt::format("$d{} << EOD\n", destination);
            for (const auto& [at, above] : p->took.tail())
                if (above > 0) tail += fmt::format("{} {}\n", at * 1000, above);
            tail += "EOD\n";
            plots += fmt::format("{}$d{} using 1:2 with lines title '{}'", plots.empty() ? "" : ", ",
                                 destination, destination);
        }
        good = draw(tail + "plot " + plots + '\n');
    }
    if (good && !clumpy.empty()) {
        std::string clumps = head("clumps", "Clumps by destination (1: none)", "destination",
                                  "dispersion of counts a second") +
                             "set style fill solid 0.6\nset boxwidth 0.8\n$d << EOD\n";
        for (const auto& [destination, p] : clumpy)
            clumps += fmt::format("{} {}\n", destination, p->arrivals.dispersion(seconds));
        good = draw(clumps + "EOD\nset yrange [0:*]\nplot $d using 0:2:xtic(1) with boxes notitle\n");
    }
    if (!good) {
        err << "laurelhaven: gnuplot can't draw; is the package gnuplot-nox there?\n";
        return 2;
    }
    out << drawn << " plots in " << folder << '\n';
    return 0;
}

/// The fields of one line (RFC 4180, but no line breaks inside a field). False where a quote stays open.
bool fields(const std::string& line, std::vector<std::string>& into) {
    into.assign(1, {});
    bool quoted = false;
    for (std::size_t i = 0; i < line.size(); ++i) {
        const char c = line[i];
        if (quoted && c == '"' && i + 1 < line.size() && line[i + 1] == '"') into.back() += line[++i];
        else if (c == '"') quoted = !quoted;
        else if (c == ',' && !quoted) into.emplace_back();
        else if (c != '\r') into.back() += c;
    }
    return !quoted;
}

template <class T>
bool number(const std::string& text, T& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size();
}

}  // namespace

int traceSummarise(const TraceIn& in, bool json, const std::string& plots, std::ostream& out,
                   std::ostream& err) {
    return guarded(err, [&] {
        Input input(in, false, err);
        Summary summary;
        for (Record record; input.next(record);) summary.add(record);
        if (json) {
            Json::StreamWriterBuilder builder;
            builder["indentation"] = "  ";
            builder["precision"] = 6;
            out << Json::writeString(builder, asJson(summary, input)) << '\n';
        } else {
            table(summary, out);
        }
        const int status = input.verdict();
        if (plots.empty()) return status;
        return std::max(status, plot(summary, plots, json ? err : out, err));
    });
}

int traceCut(const TraceIn& in, const Cut& cut, const std::string& to, std::ostream& out, std::ostream& err) {
    return guarded(err, [&] {
        Input input(in, false, err);
        Writer writer(to, input.header());
        Cutter cutter(cut);
        for (Record record; input.next(record);)
            if (cutter.keeps(record)) writer.add(record);
        writer.close();
        return wrote(input, writer, to, out);
    });
}

int traceScale(const TraceIn& in, const Scale& scale, const std::string& to, std::ostream& out,
               std::ostream& err) {
    return guarded(err, [&] {
        Input input(in, false, err);
        Writer writer(to, input.header());
        Scaler scaler(scale, [&](const Record& record) { writer.add(record); });
        for (Record record; input.next(record);) scaler.add(record);
        scaler.finish();
        writer.close();
        const int status = wrote(input, writer, to, out);
        if (scaler.leftOut() > 0)
            out << scaler.leftOut() << " answers and ends were left out: they belong to the load as it was\n";
        return status;
    });
}

int traceMerge(const TraceIn& in, bool align, const std::string& to, std::ostream& out, std::ostream& err) {
    return guarded(err, [&] {
        Input input(in, align, err);
        auto header = input.header();
        if (in.files.size() > 1) header.sender = "merged";
        Writer writer(to, header);
        for (Record record; input.next(record);) writer.add(record);
        writer.close();
        return wrote(input, writer, to, out);
    });
}

int traceImportCsv(const std::string& from, const std::string& to, std::ostream& out, std::ostream& err) {
    return guarded(err, [&] {
        std::ifstream file(from);
        if (!file) throw Bad(from + ": can't be read");
        const auto wrong = [&](std::size_t line, const std::string& what) {
            throw Bad(from + ":" + std::to_string(line) + ": " + what);
        };
        std::string text;
        std::vector<std::string> row;
        if (!std::getline(file, text) || !fields(text, row))
            wrong(1, "a line with the names of the columns is missing");
        std::map<std::string, std::size_t> columns;
        for (std::size_t i = 0; i < row.size(); ++i) {
            if (!columns.emplace(row[i], i).second) wrong(1, "column '" + row[i] + "' is there twice");
            constexpr std::array kKnown{"time",  "destination", "class", "tenant",
                                        "bytes", "deadline_ms", "id"};
            if (std::find(kKnown.begin(), kKnown.end(), row[i]) == kKnown.end())
                wrong(1, "no column '" + row[i] +
                             "' is known; use time, destination, class, tenant, bytes, deadline_ms, id");
        }
        for (const char* needed : {"time", "destination"})
            if (!columns.count(needed)) wrong(1, std::string("column '") + needed + "' is missing");
        Writer writer(to, Header{kVersion, "imported", 0});
        Micros last = INT64_MIN;
        for (std::size_t line = 2; std::getline(file, text); ++line) {
            if (text.empty() || text == "\r") continue;
            if (!fields(text, row)) wrong(line, "a quote stays open");
            if (row.size() != columns.size())
                wrong(line, std::to_string(row.size()) + " fields where there are " +
                                std::to_string(columns.size()) + " columns");
            const auto field = [&](const char* name) {
                const auto it = columns.find(name);
                return it == columns.end() ? std::string() : row[it->second];
            };
            const auto whole = [&](const char* name) {
                std::uint64_t value = 0;
                const auto given = field(name);
                if (!given.empty() && !number(given, value))
                    wrong(line, std::string(name) + " '" + given + "' is no whole number");
                return value;
            };
            Arrival r;
            double seconds = 0;
            if (!number(field("time"), seconds) || !(std::fabs(seconds) * 1e6 < kFarthest))
                wrong(line, "time '" + field("time") + "' is no number of seconds");
            if (field("destination").empty()) wrong(line, "destination is empty");
            r.at = static_cast<Micros>(std::llround(seconds * 1e6));
            if (r.at < last)
                wrong(line, "its time lies before that of the line above; sort the lines by time first");
            last = r.at;
            r.destination = whole("destination");
            r.bytes = whole("bytes");
            r.deadlineMs = whole("deadline_ms");
            r.grade = field("class");
            r.tenant = field("tenant");
            r.id = mixed(field("id").empty() ? line : std::hash<std::string>{}(field("id")));
            writer.add(r);
        }
        writer.close();
        out << to << ": " << writer.records() << " messages\n";
        return 0;
    });
}

}  // namespace laurelhaven::commands
