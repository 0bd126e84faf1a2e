#include "plan/words.hpp"

#include <unistd.h>

#include <fstream>
#include <list>
#include <ostream>

#include "trace/file.hpp"
#include "trace/shape.hpp"

namespace laurelhaven::plan {
namespace {

constexpr std::size_t kMostArrivals = 4'000'000;  // some 500 MB

}  // namespace

Words::Words(CLI::App& app) {
    plan_ = app.add_subcommand("plan", "judge whether senders and partners will hold: days on the model");
    plan_->require_subcommand(1);
    const auto word = [&](const char* name, const char* says, bool wantsFleet) {
        auto* sub = plan_->add_subcommand(name, says);
        auto* fleet =
            sub->add_option("-f,--fleet", fleet_, "the fleet's description (YAML); see docs/PLANNING.md");
        if (wantsFleet) fleet->required();
        sub->add_option("traces", traces_, "captured load; without it the description's own is drawn");
        sub->add_flag("--json", json_, "as JSON");
        return sub;
    };
    const auto plays = [&](CLI::App* sub) {
        sub->add_option("--load", load_, "times the load")->check(CLI::Range(0.01, 1000.0));
        sub->add_option("--goal", goal_, "in place of the description's own, such as 0.95")
            ->check(CLI::Range(0.01, 1.0));
        sub->add_option("--days", seeds_, "days of different chance for each figure")
            ->check(CLI::Range(2, 1000));
        return sub;
    };
    fit_ = word("fit", "draft a description out of a trace, with how sure it is", false);
    fit_->get_option("traces")->required();
    fit_->add_option("-o,--output", output_, "the file to write (default: standard output)");
    check_ = word("check", "read a description; with a trace: does it explain what the trace shows", true);
    bounds_ = word("bounds", "what queueing formulas say", false);
    breaks_ = plays(word("breaks", "what breaks first as load grows, at which load, and what next", false));
    breaks_->add_option("--most", most_, "times the load that is looked at")->check(CLI::Range(1.0, 1000.0));
    size_ = plays(word("size", "how many senders and endpoints the goal needs", false));
    size_->add_option("--most-senders", sizes_.mostSenders)
        ->check(CLI::Range(1, 1000))
        ->capture_default_str();
    size_->add_option("--most-endpoints", sizes_.mostEndpoints, "of a partner")
        ->check(CLI::Range(1, 10000))
        ->capture_default_str();
    whatIf_ =
        plays(word("what-if", "loss of zones, partners, senders; cold returns; growth; a new tenant", false));
    whatIf_->add_option("--growth", growth_, "times the load (default: 1.5 and 2)");
}

std::optional<int> Words::run(std::ostream& out, std::ostream& err) {
    if (!plan_->parsed()) return std::nullopt;
    try {
        const int status = carryOut(out, err);
        return status == 0 && damaged_ ? 1 : status;
    } catch (const fleet::Bad& e) {
        err << "laurelhaven: " << e.what() << '\n';
    } catch (const trace::Bad& e) {
        err << "laurelhaven: " << e.what() << '\n';
    } catch (const Bad& e) {
        err << "laurelhaven: " << e.what() << '\n';
    }
    return 2;
}

void Words::load(std::ostream& err) {
    if (!fleet_.empty()) description_ = fleet::readFile(fleet_);
    if (traces_.empty()) {
        if (fleet_.empty()) throw Bad("give a description (--fleet FILE) or a trace, or both");
        messages_ = drawn(description_);
    } else {
        auto arrivals = std::make_shared<std::vector<trace::Arrival>>();
        std::list<trace::Reader> readers;
        std::vector<trace::Merger::Source> sources;
        for (const auto& path : traces_) {
            auto& reader = readers.emplace_back(path);
            sources.push_back([&reader](trace::Record& record) { return reader.next(record); });
        }
        trace::Merger merged(std::move(sources), false);
        for (trace::Record record; merged.next(record);) {
            seen_.add(record);
            const auto* arrival = std::get_if<trace::Arrival>(&record);
            if (!arrival || fit_->parsed()) continue;
            if (arrivals->size() >= kMostArrivals)
                throw Bad(
                    "the trace holds more than 4 million messages; make it smaller with 'laurelhaven trace "
                    "cut' or 'trace scale --load'");
            arrivals->push_back(*arrival);
        }
        for (const auto& r : readers) {
            if (r.damagedBytes() == 0) continue;
            damaged_ = true;
            err << "laurelhaven: " << r.path() << ": byte " << r.damagedAt() << ": " << r.damagedBytes()
                << " bytes can't be read" << (r.cut() ? ", and the file ends inside a block" : "")
                << "; the rest is used\n";
        }
        // Its figures say what the partners are asked for; the messages themselves come from the trace.
        auto draft = seen_.draft();
        if (fleet_.empty()) {
            description_ = std::move(draft.description);
            notes_ = std::move(draft.notes);
        } else {
            description_.load.span = draft.description.load.span;
            for (auto& p : description_.partners) {
                p.asked = 0;
                for (const auto& q : draft.description.partners)
                    if (q.is.does.destination == p.is.does.destination) p.asked = q.asked;
            }
        }
        if (!fit_->parsed()) messages_ = captured(arrivals, description_);
    }
    if (goal_ > 0) description_.goal = goal_;
}

int Words::carryOut(std::ostream& out, std::ostream& err) {
    load(err);
    if (fit_->parsed()) {
        const auto text = fleet::written(description_, notes_);
        if (output_.empty()) {
            out << text;
            return 0;
        }
        std::ofstream file(output_);
        if (!(file << text << std::flush)) throw Bad(output_ + ": can't be written");
        err << "laurelhaven: " << output_ << ": " << description_.partners.size()
            << " partners; read the comments\n";
        return 0;
    }
    std::function<void(const std::string&)> progress;
    if (isatty(STDERR_FILENO) && !json_)
        progress = [&err](const std::string& line) { err << "  " << line << std::endl; };
    if (bounds_->parsed()) {
        const auto all = bounds(description_);
        out << (json_ ? json(all) : text(all));
        return 0;
    }
    Runs runs(messages_);
    std::vector<Unexplained> strange;
    if (!traces_.empty() && !fleet_.empty()) strange = unexplained(seen_, description_, runs);
    if (check_->parsed()) {
        if (traces_.empty()) out << fleet_ << ": " << description_.partners.size() << " partners, fine\n";
        else out << (json_ ? json(strange) : text(strange));
        return strange.empty() ? 0 : 1;
    }
    if (!strange.empty()) {
        err << "laurelhaven: " << fleet_ << " does not explain what the trace shows, so no figure is given:\n"
            << text(strange)
            << "mend the description ('laurelhaven plan fit' drafts one), or leave the trace out\n";
        return 1;
    }
    if (breaks_->parsed()) {
        // A load of its own moves the scale: 1 is what was asked for.
        for (auto& p : description_.partners) p.asked *= load_;
        Runs at([this](double factor, std::uint64_t seed) { return messages_(factor * load_, seed); });
        BreakOptions options;
        options.seeds = seeds_;
        options.most = most_;
        options.progress = progress;
        const auto found = breaks(description_, at, options);
        const auto formulas = bounds(description_);
        if (json_) out << json(found, description_, formulas);
        else out << text(found, description_) << text(formulas);
        return found.unnamed ? 1 : 0;
    }
    if (size_->parsed()) {
        sizes_.factor = load_;
        sizes_.seeds = seeds_;
        sizes_.progress = progress;
        const auto found = size(description_, runs, sizes_);
        out << (json_ ? json(found, description_) : text(found, description_));
        return found.reached ? 0 : 1;
    }
    WhatIfOptions options;
    options.factor = load_;
    options.seeds = seeds_;
    if (!growth_.empty()) options.growth = growth_;
    options.progress = progress;
    const auto all = whatIf(description_, runs, options);
    out << (json_ ? json(all, description_) : text(all, description_));
    return 0;
}

}  // namespace laurelhaven::plan
