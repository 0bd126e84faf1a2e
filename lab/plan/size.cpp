#include "plan/size.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace laurelhaven::plan {
namespace {

struct Seen {
    Interval score;
    std::vector<double> own;  ///< by partner: service of its own messages
};

class Search {
  public:
    Search(const Description& description, Runs& runs, const SizeOptions& options)
        : given_(description), runs_(runs), options_(options) {}

    Size run() {
        const auto before = runs_.played();
        result_.sweep = static_cast<std::uint64_t>(options_.seeds) *
                        (static_cast<std::uint64_t>(options_.mostSenders) +
                         static_cast<std::uint64_t>(options_.mostEndpoints) * given_.partners.size());
        say("the goal at the greatest size");
        endpoints_.assign(given_.partners.size(), options_.mostEndpoints);
        const auto greatest = play(options_.mostSenders);
        target_ = given_.goal;
        if (greatest.score.mean < target_) {
            result_.score = greatest.score;
            result_.senders = options_.mostSenders;
            result_.endpoints = endpoints_;
            binding(greatest);
            result_.played = runs_.played() - before;
            return std::move(result_);
        }
        say("the number of senders");
        int senders = bisect(1, options_.mostSenders, [&](int n) { return play(n).score.mean >= target_; });
        say("the number of endpoints of all partners at once");
        endpointsFor(senders, greatest);
        // What each may lose alone was shared out by a guess: the sum decides.
        auto now = play(senders);
        while (now.score.mean < target_ && grow(now)) now = play(senders);
        for (; senders > 1; --senders) {
            const auto fewer = play(senders - 1);
            if (fewer.score.mean < target_) break;
            now = fewer;
        }
        result_.reached = now.score.mean >= target_;
        result_.senders = senders;
        result_.endpoints = endpoints_;
        result_.score = now.score;
        binding(now);
        result_.played = runs_.played() - before;
        return std::move(result_);
    }

  private:
    void say(const std::string& line) const {
        if (options_.progress) options_.progress(line);
    }

    Description sized(int senders) const {
        auto d = given_;
        d.senders.count = senders;
        for (std::size_t p = 0; p < endpoints_.size(); ++p) d.partners[p].setEndpoints(endpoints_[p]);
        // A trouble may be one of a sender that is not there at this size.
        std::erase_if(d.troubles, [&](const auto& t) {
            using Kind = model::Trouble::Kind;
            return (t.kind == Kind::kill || t.kind == Kind::start) &&
                   t.which >= static_cast<std::size_t>(senders);
        });
        return d;
    }

    Seen play(int senders) {
        const auto days = runs_.days(sized(senders), options_.factor, options_.seeds);
        Seen seen;
        seen.own.assign(given_.partners.size(), 1);
        std::vector<double> scores, asked(seen.own.size()), lost(seen.own.size());
        for (const auto& day : days) {
            scores.push_back(value(day));
            for (std::size_t p = 0; p < asked.size(); ++p) asked[p] += day.asked[p], lost[p] += day.lost[p];
        }
        for (std::size_t p = 0; p < asked.size(); ++p)
            if (asked[p] > 0) seen.own[p] = 1 - lost[p] / asked[p];
        seen.score = interval(scores);
        return seen;
    }

    /// The least number that is enough, by doubling and then halving the step; `most` is known to be.
    static int bisect(int least, int most, const std::function<bool(int)>& enough) {
        int good = most, bad = least - 1;
        for (int n = least; n < most; n *= 2) {
            if (enough(n)) {
                good = n;
                break;
            }
            bad = n;
        }
        while (good - bad > 1) {
            const int middle = (good + bad) / 2;
            (enough(middle) ? good : bad) = middle;
        }
        return good;
    }

    /// Each partner's own service decides over its own endpoints, all of them in the same days.
    void endpointsFor(int senders, const Seen& greatest) {
        const auto n = endpoints_.size();
        std::vector<int> good(n, options_.mostEndpoints), bad(n, 0), step(n, 1);
        std::vector<double> wanted(n);
        for (std::size_t p = 0; p < n; ++p) {
            // Half of what the goal leaves: the worst ten seconds and the worst client lose more than the
            // whole.
            const double may = 1 - (1 - given_.goal) / 2;
            wanted[p] = std::min(may, greatest.own[p] - 0.002);
            // Without load one will do.
            if (given_.partners[p].asked <= 0) good[p] = 1;
        }
        for (;;) {
            bool more = false;
            for (std::size_t p = 0; p < n; ++p) {
                if (good[p] - bad[p] <= 1) endpoints_[p] = good[p];
                else {
                    more = true;
                    endpoints_[p] = good[p] == options_.mostEndpoints
                                        ? std::min(good[p] - 1, std::max(1, 2 * bad[p]))
                                        : (good[p] + bad[p]) / 2;
                }
            }
            if (!more) return;
            const auto seen = play(senders);
            for (std::size_t p = 0; p < n; ++p) {
                if (good[p] - bad[p] <= 1) continue;
                (seen.own[p] >= wanted[p] ? good : bad)[p] = endpoints_[p];
            }
        }
    }

    /// One endpoint more for the partner that loses most and can have one. False where none can.
    bool grow(const Seen& seen) {
        std::size_t worst = endpoints_.size();
        double most = 0;
        for (std::size_t p = 0; p < endpoints_.size(); ++p) {
            if (endpoints_[p] >= options_.mostEndpoints) continue;
            const double lost = (1 - seen.own[p]) * given_.partners[p].asked;
            if (lost > most) most = lost, worst = p;
        }
        if (worst == endpoints_.size()) return false;
        ++endpoints_[worst];
        return true;
    }

    /// Where more servers would not help, and why.
    void binding(const Seen& seen) {
        for (std::size_t p = 0; p < given_.partners.size(); ++p) {
            const auto& does = given_.partners[p].is.does;
            const double asked = given_.partners[p].asked * options_.factor;
            if (does.limit > 0 && asked > does.limit)
                result_.useless.push_back(
                    fmt::format("endpoints of {}: its limit of {:.3g}/s is below the {:.3g}/s asked, "
                                "whatever their number",
                                given_.partners[p].name, does.limit, asked));
            else if (!result_.reached && seen.own[p] < given_.goal)
                result_.useless.push_back(
                    fmt::format("endpoints of {}: with {} of them its messages have a service of {:.3f}",
                                given_.partners[p].name, endpoints_[p], seen.own[p]));
        }
        if (result_.reached) return;
        // Which bound it is that no number moves.
        BreakOptions options;
        options.seeds = options_.seeds;
        options.later = 0;
        options.most = std::max(4.0, 2 * options_.factor);
        const auto why = breaks(sized(result_.senders), runs_, options);
        if (why.unnamed) result_.useless.push_back("any: the description does not name what binds");
        else if (why.verdict != Breaks::Verdict::never)
            for (const auto& cause : why.causes)
                result_.useless.push_back("any: at the greatest size " + name(cause.resource, given_) +
                                          " binds");
    }

    const Description& given_;
    Runs& runs_;
    const SizeOptions& options_;
    Size result_;
    double target_ = 0;
    std::vector<int> endpoints_;
};

}  // namespace

Size size(const Description& description, Runs& runs, const SizeOptions& options) {
    return Search(description, runs, options).run();
}

}  // namespace laurelhaven::plan
