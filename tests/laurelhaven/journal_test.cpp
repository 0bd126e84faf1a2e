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

StoredMessage message(const std::string& id, std::string body = "body") {
    StoredMessage m;
    m.id = id;
    m.key = "key-" + id;
    m.destination = 7;
    m.deadline = 1234567;
    m.body = std::make_shared<const std::string>(std::move(body));
    return m;
}

void attemptAndSettle(Journal& journal, const std::string& id, RecordMs at, AttemptOutcome outcome) {
    const auto attempt = journal.beginAttempt(id, at);
    CHECK(attempt && journal.recordOutcome(id, *attempt, outcome));
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
            CHECK(journal.accept(message(id)));
        CHECK(journal.beginAttempt("out", 100));
        attemptAndSettle(journal, "ran", 200, {true, true});
        attemptAndSettle(journal, "ran", 300, {true, true});
        attemptAndSettle(journal, "full", 400, {false, false});
        CHECK(journal.recordUnsentFailure("down", 450));
        journal.remove("done");
        journal.recordFinalState({"ended", FinalState::returned, 500});
        journal.recordFinalState({"heard", FinalState::failed, 0});
        journal.noticeAcknowledged("heard");
    }
    for (int life = 0; life < 2; ++life) {  // and the same from what a life has read and left
        const auto found = Journal(folder.path, kDisk).recover();
        std::map<std::string, StoredMessage> by;
        for (const auto& m : found.messages) by[m.id] = m;
        CHECK(by.size() == 5 && found.messages[0].id == "fresh");
        CHECK(by["fresh"].key == "key-fresh" && *by["fresh"].body == "body" &&
              by["fresh"].deadline == 1234567);
        CHECK(by["fresh"].destination == 7 && by["fresh"].attempts.attemptCount() == 0 &&
              !by["fresh"].attempts.mayHaveRunSince());
        CHECK(by["out"].attempts.attemptCount() == 1 && by["out"].attempts.mayHaveRunSince() == 100);
        const auto& ran = by["ran"].attempts;
        CHECK(!ran.openAttempt() && ran.attemptCount() == 2 && ran.failures() == 2 &&
              ran.mayHaveRunSince() == 200);
        const auto& full = by["full"].attempts;
        CHECK(full.attemptCount() == 1 && full.failures() == 0 && !full.mayHaveRunSince());
        CHECK(by["down"].attempts.attemptCount() == 0 && by["down"].attempts.failures() == 1 &&
              by["down"].attempts.lastFailureAt() == 450);
        CHECK(found.notices.size() == 1 && found.notices[0].id == "ended" &&
              found.notices[0].retryAfterMs == 500);
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
    life([](Journal& journal, const RecoveredState&) {
        CHECK(journal.accept(message("m")) && journal.beginAttempt("m", 100));
    });
    life([](Journal& journal, const RecoveredState& found) {
        CHECK(found.messages.size() == 1 && found.messages[0].attempts.mayHaveRunSince() == 100);
        for (const RecordMs at : {200, 300}) {  // turned away, twice
            attemptAndSettle(journal, "m", at, {false, false});
        }
    });
    life([](Journal& journal, const RecoveredState& found) {
        CHECK(found.messages.size() == 1 && found.messages[0].attempts.mayHaveRunSince() == 100);
        CHECK(journal.beginAttempt("m", 400));
    });
    life([](Journal&, const RecoveredState& found) {
        CHECK(found.messages[0].attempts.mayHaveRunSince() == 100 &&
              found.messages[0].attempts.attemptCount() == 4);
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
        CHECK(journal.accept(message("m")) && journal.beginAttempt("m", 100) == 1u);
        CHECK(!journal.recordOutcome("m", 2, {false, false}) && !journal.attemptNotSent("m", 2));
        CHECK(!journal.recordOutcome("other", 1, {false, false}) &&
              !journal.recordUnsentFailure("other", 100));
    }
    life([](Journal& journal, const AttemptHistory& attempts) {
        CHECK(attempts.mayHaveRunSince() == 100 && attempts.attemptCount() == 1);
        CHECK(!journal.recordOutcome("m", 1, {false, false}));  // that was another life's
        CHECK(journal.recordUnsentFailure("m", 150));
    });
    life([](Journal& journal, const AttemptHistory& attempts) {
        CHECK(attempts.mayHaveRunSince() == 100 && attempts.failures() == 1);
        CHECK(journal.beginAttempt("m", 200) == 2u && journal.recordOutcome("m", 2, {false, false}));
        CHECK(!journal.recordOutcome("m", 2, {true, true}));
    });
    life([](Journal& journal, const AttemptHistory& attempts) {
        CHECK(attempts.mayHaveRunSince() == 100 && attempts.attemptCount() == 2);
        CHECK(!journal.noticeAcknowledged("m"));  // it has not ended, and is still owed
        CHECK(journal.recordFinalState({"m", FinalState::failed, 0}) &&
              !journal.recordFinalState({"m", FinalState::returned, 0}));
        CHECK(!journal.remove("m") && !journal.beginAttempt("m", 300));
    });
    Journal journal(folder.path, kDisk);
    const auto found = journal.recover();
    CHECK(found.messages.empty() && found.notices.size() == 1 &&
          found.notices[0].finalState == FinalState::failed);
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
        auto file = encodeFrame("LHR1", PayloadWriter('M')
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
                                            .finish());
        if (c.opens) file += encodeFrame("LHR1", PayloadWriter('A').text("m").number(100).finish());
        if (c.settled)
            file += encodeFrame("LHR1", PayloadWriter('O').text("m").number(c.ran).number(c.failed).finish());
        spill(folder.path + "/messages.log", file);
        for (int life = 0; life < 2; ++life) {
            Journal journal(folder.path, kDisk);
            const auto found = journal.recover();
            CHECK(found.messages.size() == 1 && found.messages[0].attempts.mayHaveRunSince() == c.since);
            CHECK(journal.recordUnsentFailure("m", 200));
        }
    }
}

/// A record of the first form, as an earlier version wrote it: classes and tenants by their positions.
std::string byPosition(const std::string& id, int messageClass, int tenant) {
    const auto payload = PayloadWriter('T')
                             .text(id)
                             .text("key-" + id)
                             .number(7)
                             .number(messageClass)
                             .number(tenant)
                             .number(1234567)
                             .number(1)
                             .number(0)
                             .number(true)
                             .number(0)
                             .number(100)
                             .text("body")
                             .finish();
    return encodeFrame("LHR1", payload);
}

// Records name classes and tenants; those of the first form mean what the configuration says of their
// positions at the first start that reads them, and say so by name from then on.
void classesAndTenantsAreKeptByName() {
    const check::Folder folder;
    spill(folder.path + "/messages.log", byPosition("old", 1, 1) + byPosition("beyond", 9, 9));
    {
        Journal journal(folder.path, kDisk, {{"a", "b"}, {"s", "t"}, {0, 2}});
        const auto found = journal.recover();
        CHECK(found.messages.size() == 2 && found.messages[0].messageClass == "b" &&
              found.messages[0].tenant == "t");
        CHECK(found.messages[0].effect == 2 && found.messages[0].attempts.mayHaveRunSince() == 100 &&
              found.messages[0].attempts.attemptCount() == 1);
        CHECK(found.messages[1].messageClass.empty());
        auto fresh = message("new");
        fresh.messageClass = "b", fresh.tenant = "s", fresh.effect = 2;
        CHECK(journal.accept(fresh));
    }
    // They stand in another order now.
    const auto found = Journal(folder.path, kDisk, {{"b", "a"}, {"t", "s"}, {1, 0}}).recover();
    CHECK(found.messages.size() == 3 && found.messages[0].messageClass == "b" &&
          found.messages[0].tenant == "t");
    CHECK(found.messages[0].effect == 2 && found.messages[2].messageClass == "b" &&
          found.messages[2].tenant == "s");
    CHECK(found.messages[2].effect == 2 && found.messages[1].messageClass.empty());
}

// An attempt that never left is none, over any number of lives; one that was out before it stays one that may
// have run.
void anAttemptThatNeverLeftIsNone() {
    const check::Folder folder;
    {
        Journal journal(folder.path, kDisk);
        journal.recover();
        CHECK(journal.accept(message("m")) && journal.accept(message("ran")));
        const auto attempt = journal.beginAttempt("m", 100);
        CHECK(attempt && journal.attemptNotSent("m", *attempt));
        CHECK(!journal.attemptNotSent("m", *attempt));  // nothing is left to take back
        CHECK(journal.beginAttempt("ran", 100));
    }
    {
        Journal journal(folder.path, kDisk);
        const auto found = journal.recover();
        CHECK(found.messages[0].attempts.attemptCount() == 0 &&
              !found.messages[0].attempts.mayHaveRunSince());
        const auto attempt = journal.beginAttempt("ran", 200);
        CHECK(attempt && journal.attemptNotSent("ran", *attempt));
    }
    const auto found = Journal(folder.path, kDisk).recover();
    CHECK(found.messages[1].attempts.attemptCount() == 1 &&
          found.messages[1].attempts.mayHaveRunSince() == 100);
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
            CHECK(journal.accept(message("m" + std::to_string(i), "LHR1" + std::string(i * 7, 'x'))));
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
        CHECK(journal.accept(message("after")));  // what is written next is readable
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
    while (journal.accept(message("big" + std::to_string(taken), big))) CHECK(++taken < 100);
    CHECK(taken >= 20);
    for (int round = 0; round < 8 * taken; ++round) {
        const auto id = "big" + std::to_string(round % taken);
        attemptAndSettle(journal, id, round, {true, true});
        CHECK(diskUse(folder.path) <= kDisk);
    }
    CHECK(Journal(folder.path, kDisk).recover().messages.size() == static_cast<std::size_t>(taken));
    for (int i = 0; i < taken; ++i)
        journal.recordFinalState({"big" + std::to_string(i), FinalState::failed, 0});
    std::uint64_t most = 0;
    for (int i = 0; i < 400; ++i) {  // many times the limit passes through
        const auto id = "m" + std::to_string(i);
        CHECK(journal.accept(message(id, big)));
        CHECK(journal.beginAttempt(id, 1));
        journal.remove(id);
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
        CHECK(journal.accept(message("m")) && journal.accept(message("done")));
        taken = journal.fileBytes();
        CHECK(journal.beginAttempt("m", 100));
        tried = journal.fileBytes();
        journal.remove("done");
        CHECK(journal.accept(message("after")));
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
        CHECK(journal.accept(message("m")) && !journal.accept(message("m")));
        journal.recordFinalState({"m", FinalState::returned, 500});
        CHECK(!journal.accept(message("m")));
        CHECK(journal.accept(message("other")));
    }
    Journal journal(folder.path, kDisk);
    const auto found = journal.recover();
    CHECK(found.notices.size() == 1 && found.messages.size() == 1);
    journal.noticeAcknowledged("m");
    CHECK(journal.accept(message("m")));
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
