// The file journal: what a killed process leaves, what damage leaves, and the byte budget.
#include "store/journal.hpp"

#include <fstream>
#include <iterator>
#include <map>
#include <optional>

#include "check.hpp"
#include "log/log.hpp"
#include "store/frame.hpp"

using namespace laurelhaven::store;

namespace {

constexpr std::uint64_t kDisk = 3'000'000;

Taken message(const std::string& id, std::string body = "body") {
    Taken m;
    m.id = id;
    m.key = "key-" + id;
    m.destination = 7;
    m.deadline = 1234567;
    m.body = std::make_shared<const std::string>(std::move(body));
    return m;
}

void attemptAndSettle(Journal& journal, const std::string& id, RecordMs at, AttemptOutcome outcome) {
    const auto attempt = journal.beginAttempt(id, at);
    CHECK(attempt && journal.settle(id, *attempt, outcome));
}

std::string slurp(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}
void spill(const std::string& path, const std::string& bytes) {
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}
std::uint64_t diskUse(const std::string& folder) {
    std::uint64_t all = 0;
    for (const auto& file : std::filesystem::directory_iterator(folder))
        all += (std::filesystem::file_size(file) + 511) / 512 * 512;
    return all;
}

void everythingOwedComesBack() {
    const check::Folder folder;
    {
        Journal journal(folder.path, kDisk);
        journal.recover();
        for (const char* id : {"fresh", "out", "ran", "full", "down", "done", "ended", "heard"})
            CHECK(journal.take(message(id)));
        CHECK(journal.beginAttempt("out", 100));
        attemptAndSettle(journal, "ran", 200, {true, true});
        attemptAndSettle(journal, "ran", 300, {true, true});
        attemptAndSettle(journal, "full", 400, {false, false});
        CHECK(journal.failWithoutAttempt("down", 450));
        journal.done("done");
        journal.ended({"ended", End::returned, 500});
        journal.ended({"heard", End::failed, 0});
        journal.noticed("heard");
    }
    for (int life = 0; life < 2; ++life) {  // and the same from what a life has read and left
        const auto found = Journal(folder.path, kDisk).recover();
        std::map<std::string, Taken> by;
        for (const auto& m : found.messages) by[m.id] = m;
        CHECK(by.size() == 5 && found.messages[0].id == "fresh");
        CHECK(by["fresh"].key == "key-fresh" && *by["fresh"].body == "body" &&
              by["fresh"].deadline == 1234567);
        CHECK(by["fresh"].destination == 7 && by["fresh"].attempts.made() == 0 &&
              !by["fresh"].attempts.mayHaveRunSince());
        CHECK(by["out"].attempts.made() == 1 && by["out"].attempts.mayHaveRunSince() == 100);
        const auto& ran = by["ran"].attempts;
        CHECK(!ran.open() && ran.made() == 2 && ran.failures() == 2 && ran.mayHaveRunSince() == 200);
        const auto& full = by["full"].attempts;
        CHECK(full.made() == 1 && full.failures() == 0 && !full.mayHaveRunSince());
        CHECK(by["down"].attempts.made() == 0 && by["down"].attempts.failures() == 1 &&
              by["down"].attempts.lastFailureAt() == 450);
        CHECK(found.notices.size() == 1 && found.notices[0].id == "ended" && found.notices[0].afterMs == 500);
    }
}

// An attempt that was out when its life ended may have run, whatever comes of those that later lives make:
// each life must know since when, or a repeat falls outside its key's window.
void whatWasOutAtAKillMayHaveRunInEveryLaterLife() {
    const check::Folder folder;
    const auto life = [&](const auto& work) {
        Journal journal(folder.path, kDisk);
        const auto found = journal.recover();
        work(journal, found);
    };
    life([](Journal& journal, const Recovered&) {
        CHECK(journal.take(message("m")) && journal.beginAttempt("m", 100));
    });
    life([](Journal& journal, const Recovered& found) {
        CHECK(found.messages.size() == 1 && found.messages[0].attempts.mayHaveRunSince() == 100);
        for (const RecordMs at : {200, 300}) {  // turned away, twice
            attemptAndSettle(journal, "m", at, {false, false});
        }
    });
    life([](Journal& journal, const Recovered& found) {
        CHECK(found.messages.size() == 1 && found.messages[0].attempts.mayHaveRunSince() == 100);
        CHECK(journal.beginAttempt("m", 400));
    });
    life([](Journal&, const Recovered& found) {
        CHECK(found.messages[0].attempts.mayHaveRunSince() == 100 && found.messages[0].attempts.made() == 4);
    });
}

// What an attempt came to changes nothing about any other, nor does what belongs to no attempt.
void anOutcomeSettlesItsOwnAttemptAlone() {
    const check::Folder folder;
    const auto life = [&](const auto& work) {
        Journal journal(folder.path, kDisk);
        const auto found = journal.recover();
        CHECK(found.messages.size() == 1);
        work(journal, found.messages[0].attempts);
    };
    {
        Journal journal(folder.path, kDisk);
        CHECK(journal.take(message("m")) && journal.beginAttempt("m", 100) == 1u);
        CHECK(!journal.settle("m", 2, {false, false}) && !journal.neverLeft("m", 2));
        CHECK(!journal.settle("other", 1, {false, false}) && !journal.failWithoutAttempt("other", 100));
    }
    life([](Journal& journal, const AttemptHistory& attempts) {
        CHECK(attempts.mayHaveRunSince() == 100 && attempts.made() == 1);
        CHECK(!journal.settle("m", 1, {false, false}));  // that was another life's
        CHECK(journal.failWithoutAttempt("m", 150));
    });
    life([](Journal& journal, const AttemptHistory& attempts) {
        CHECK(attempts.mayHaveRunSince() == 100 && attempts.failures() == 1);
        CHECK(journal.beginAttempt("m", 200) == 2u && journal.settle("m", 2, {false, false}));
        CHECK(!journal.settle("m", 2, {true, true}));
    });
    life([](Journal& journal, const AttemptHistory& attempts) {
        CHECK(attempts.mayHaveRunSince() == 100 && attempts.made() == 2);
        CHECK(!journal.noticed("m"));  // it has not ended, and is still owed
        CHECK(journal.ended({"m", End::failed, 0}) && !journal.ended({"m", End::returned, 0}));
        CHECK(!journal.done("m") && !journal.beginAttempt("m", 300));
    });
    Journal journal(folder.path, kDisk);
    const auto found = journal.recover();
    CHECK(found.messages.empty() && found.notices.size() == 1 && found.notices[0].end == End::failed);
}

// Records of the version before this one, whose attempts have no numbers. It wrote the failure of a connect
// like an outcome: where an attempt was open then, it may have run.
void attemptsWithoutNumbersAreRead() {
    struct Case {
        bool opens;  // an attempt at 100
        bool ran, failed;
        bool settled;  // there is an outcome
        std::optional<RecordMs> since;
    };
    for (const Case& c : {Case{true, false, false, false, 100}, Case{true, false, false, true, {}},
                          Case{true, true, true, true, 100}, Case{true, false, true, true, 100},
                          Case{false, false, true, true, {}}}) {
        const check::Folder folder;
        auto file = framed("LHR1", Writer('M')
                                       .text("m")
                                       .text("key")
                                       .number(7)
                                       .text("g")
                                       .text("t")
                                       .number(1)
                                       .number(1234567)
                                       .number(0)
                                       .number(0)
                                       .number(0)
                                       .number(0)
                                       .number(0)
                                       .text("body")
                                       .take());
        if (c.opens) file += framed("LHR1", Writer('A').text("m").number(100).take());
        if (c.settled) file += framed("LHR1", Writer('O').text("m").number(c.ran).number(c.failed).take());
        spill(folder.path + "/messages.log", file);
        for (int life = 0; life < 2; ++life) {
            Journal journal(folder.path, kDisk);
            const auto found = journal.recover();
            CHECK(found.messages.size() == 1 && found.messages[0].attempts.mayHaveRunSince() == c.since);
            CHECK(journal.failWithoutAttempt("m", 200));
        }
    }
}

/// A record of the first form, as an earlier version wrote it: classes and tenants by their positions.
std::string byPosition(const std::string& id, int grade, int tenant) {
    const auto payload = Writer('T')
                             .text(id)
                             .text("key-" + id)
                             .number(7)
                             .number(grade)
                             .number(tenant)
                             .number(1234567)
                             .number(1)
                             .number(0)
                             .number(true)
                             .number(0)
                             .number(100)
                             .text("body")
                             .take();
    return framed("LHR1", payload);
}

// Records name classes and tenants; those of the first form mean what the configuration says of their
// positions at the first start that reads them, and say so by name from then on.
void classesAndTenantsAreKeptByName() {
    const check::Folder folder;
    spill(folder.path + "/messages.log", byPosition("old", 1, 1) + byPosition("beyond", 9, 9));
    {
        Journal journal(folder.path, kDisk, {{"a", "b"}, {"s", "t"}, {0, 2}});
        const auto found = journal.recover();
        CHECK(found.messages.size() == 2 && found.messages[0].grade == "b" &&
              found.messages[0].tenant == "t");
        CHECK(found.messages[0].effect == 2 && found.messages[0].attempts.mayHaveRunSince() == 100 &&
              found.messages[0].attempts.made() == 1);
        CHECK(found.messages[1].grade.empty());
        auto fresh = message("new");
        fresh.grade = "b", fresh.tenant = "s", fresh.effect = 2;
        CHECK(journal.take(fresh));
    }
    // They stand in another order now.
    const auto found = Journal(folder.path, kDisk, {{"b", "a"}, {"t", "s"}, {1, 0}}).recover();
    CHECK(found.messages.size() == 3 && found.messages[0].grade == "b" && found.messages[0].tenant == "t");
    CHECK(found.messages[0].effect == 2 && found.messages[2].grade == "b" && found.messages[2].tenant == "s");
    CHECK(found.messages[2].effect == 2 && found.messages[1].grade.empty());
}

// An attempt that never left is none, over any number of lives; one that was out before it stays one that may
// have run.
void anAttemptThatNeverLeftIsNone() {
    const check::Folder folder;
    {
        Journal journal(folder.path, kDisk);
        journal.recover();
        CHECK(journal.take(message("m")) && journal.take(message("ran")));
        const auto attempt = journal.beginAttempt("m", 100);
        CHECK(attempt && journal.neverLeft("m", *attempt));
        CHECK(!journal.neverLeft("m", *attempt));  // nothing is left to take back
        CHECK(journal.beginAttempt("ran", 100));
    }
    {
        Journal journal(folder.path, kDisk);
        const auto found = journal.recover();
        CHECK(found.messages[0].attempts.made() == 0 && !found.messages[0].attempts.mayHaveRunSince());
        const auto attempt = journal.beginAttempt("ran", 200);
        CHECK(attempt && journal.neverLeft("ran", *attempt));
    }
    const auto found = Journal(folder.path, kDisk).recover();
    CHECK(found.messages[1].attempts.made() == 1 && found.messages[1].attempts.mayHaveRunSince() == 100);
}

// A process may be killed at any byte: whatever was written whole is there, and the tail is dropped.
void everyTornTailIsDropped() {
    const check::Folder folder;
    const auto path = folder.path + "/messages.log";
    std::vector<std::size_t> ends;
    {
        Journal journal(folder.path, kDisk);
        journal.recover();
        for (int i = 0; i < 4; ++i) {
            CHECK(journal.take(message("m" + std::to_string(i), "LHR1" + std::string(i * 7, 'x'))));
            ends.push_back(journal.fileBytes());
        }
    }
    const auto bytes = slurp(path);
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        spill(path, bytes.substr(0, cut));
        std::size_t whole = 0;
        while (whole < ends.size() && ends[whole] <= cut) ++whole;
        Journal journal(folder.path, kDisk);
        CHECK(journal.recover().messages.size() == whole);
        CHECK(journal.take(message("after")));  // what is written next is readable
        CHECK(Journal(folder.path, kDisk).recover().messages.size() == whole + 1);
    }
    check::Chance chance(5);
    for (int round = 0; round < 300; ++round) {  // damage inside costs its own record alone
        auto damaged = bytes;
        const auto at = check::below(chance, ends[0]);
        damaged[at] = static_cast<char>(damaged[at] ^ (1 + check::below(chance, 255)));
        spill(path, damaged);
        CHECK(Journal(folder.path, kDisk).recover().messages.size() == 3);
        spill(path, check::garbage(chance, bytes));
        Journal(folder.path, kDisk).recover();
    }
}

// Both files are inside the limit at any time, and refusals leave room for the ends of what was taken.
void budgetIsKept() {
    const check::Folder folder;
    Journal journal(folder.path, kDisk);
    journal.recover();
    const std::string big(64 * 1024, 'b');
    int taken = 0;
    while (journal.take(message("big" + std::to_string(taken), big))) CHECK(++taken < 100);
    CHECK(taken >= 20);
    for (int round = 0; round < 8 * taken; ++round) {
        const auto id = "big" + std::to_string(round % taken);
        attemptAndSettle(journal, id, round, {true, true});
        CHECK(diskUse(folder.path) <= kDisk);
    }
    CHECK(Journal(folder.path, kDisk).recover().messages.size() == static_cast<std::size_t>(taken));
    for (int i = 0; i < taken; ++i) journal.ended({"big" + std::to_string(i), End::failed, 0});
    std::uint64_t most = 0;
    for (int i = 0; i < 400; ++i) {  // many times the limit passes through
        const auto id = "m" + std::to_string(i);
        CHECK(journal.take(message(id, big)));
        CHECK(journal.beginAttempt(id, 1));
        journal.done(id);
        most = std::max(most, diskUse(folder.path));
    }
    // Of all that, no more is kept than is alive, and a little: the folder counts as memory.
    CHECK(most <= kDisk && journal.fileBytes() < 512 * 1024);
    const auto found = Journal(folder.path, kDisk).recover();
    CHECK(found.messages.empty() && found.notices.size() == static_cast<std::size_t>(taken));
    CHECK(!std::filesystem::exists(folder.path + "/messages.log.new"));
}

// What can't be read may have been an attempt: a message that was alive before it may have run, one that was
// taken after it has not.
void damageLeavesDoubt() {
    const check::Folder folder;
    const auto path = folder.path + "/messages.log";
    std::size_t taken = 0, tried = 0;
    {
        Journal journal(folder.path, kDisk);
        journal.recover();
        CHECK(journal.take(message("m")) && journal.take(message("done")));
        taken = journal.fileBytes();
        CHECK(journal.beginAttempt("m", 100));
        tried = journal.fileBytes();
        journal.done("done");
        CHECK(journal.take(message("after")));
    }
    const auto bytes = slurp(path);
    for (auto at = taken; at < tried; ++at) {
        auto damaged = bytes;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x20);
        spill(path, damaged);
        const auto found = Journal(folder.path, kDisk).recover();
        CHECK(found.messages.size() == 2 && found.messages[0].id == "m" &&
              found.messages[0].attempts.mayHaveRunSince());
        CHECK(found.messages[1].id == "after" && !found.messages[1].attempts.mayHaveRunSince());
    }
}

// An id whose end is owed is not taken again, or word of that end would strike out the second message.
void anIdWhoseEndIsOwedIsNotTakenAgain() {
    const check::Folder folder;
    {
        Journal journal(folder.path, kDisk);
        journal.recover();
        CHECK(journal.take(message("m")) && !journal.take(message("m")));
        journal.ended({"m", End::returned, 500});
        CHECK(!journal.take(message("m")));
        CHECK(journal.take(message("other")));
    }
    Journal journal(folder.path, kDisk);
    const auto found = journal.recover();
    CHECK(found.notices.size() == 1 && found.messages.size() == 1);
    journal.noticed("m");
    CHECK(journal.take(message("m")));
}

}  // namespace

int main() {
    laurelhaven::log::setLevel(laurelhaven::log::Level::off);
    everythingOwedComesBack();
    whatWasOutAtAKillMayHaveRunInEveryLaterLife();
    anOutcomeSettlesItsOwnAttemptAlone();
    attemptsWithoutNumbersAreRead();
    classesAndTenantsAreKeptByName();
    anAttemptThatNeverLeftIsNone();
    everyTornTailIsDropped();
    budgetIsKept();
    damageLeavesDoubt();
    anIdWhoseEndIsOwedIsNotTakenAgain();
}
