// The file journal: recovery after a kill, recovery after damage, and the byte budget.
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

constexpr std::uint64_t kDiskBytes = 3'000'000;

StoredMessage message(const std::string& id, std::string body = "body") {
    StoredMessage m;
    m.id = id;
    m.key = "key-" + id;
    m.destination = 7;
    m.deadline = 1234567;
    m.body = std::make_shared<const std::string>(std::move(body));
    return m;
}

void attemptWithOutcome(Journal& journal, const std::string& id, RecordMs at, AttemptOutcome outcome) {
    const auto attempt = journal.beginAttempt(id, at);
    CHECK(attempt && journal.recordOutcome(id, *attempt, outcome));
}

std::string readFile(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}
void writeFile(const std::string& path, const std::string& bytes) {
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}
std::uint64_t diskUsageBytes(const std::string& folder) {
    std::uint64_t all = 0;
    for (const auto& file : std::filesystem::directory_iterator(folder))
        all += (std::filesystem::file_size(file) + 511) / 512 * 512;
    return all;
}

void pendingMessagesAndNoticesAreRecovered() {
    const check::Folder folder;
    {
        Journal journal(folder.path, kDiskBytes);
        journal.recover();
        for (const char* id : {"fresh", "out", "ran", "full", "down", "done", "ended", "heard"})
            CHECK(journal.accept(message(id)));
        CHECK(journal.beginAttempt("out", 100));
        attemptWithOutcome(journal, "ran", 200, {true, true});
        attemptWithOutcome(journal, "ran", 300, {true, true});
        attemptWithOutcome(journal, "full", 400, {false, false});
        CHECK(journal.recordUnsentFailure("down", 450));
        journal.remove("done");
        journal.recordFinalState({"ended", FinalState::returned, 500});
        journal.recordFinalState({"heard", FinalState::failed, 0});
        journal.noticeAcknowledged("heard");
    }
    for (int run = 0; run < 2; ++run) {  // the second run reads what the first one left
        const auto found = Journal(folder.path, kDiskBytes).recover();
        std::map<std::string, StoredMessage> byId;
        for (const auto& m : found.messages) byId[m.id] = m;
        CHECK(byId.size() == 5 && found.messages[0].id == "fresh");
        CHECK(byId["fresh"].key == "key-fresh" && *byId["fresh"].body == "body" &&
              byId["fresh"].deadline == 1234567);
        CHECK(byId["fresh"].destination == 7 && byId["fresh"].attempts.attemptCount() == 0 &&
              !byId["fresh"].attempts.mayHaveRunSince());
        CHECK(byId["out"].attempts.attemptCount() == 1 && byId["out"].attempts.mayHaveRunSince() == 100);
        const auto& ran = byId["ran"].attempts;
        CHECK(!ran.openAttempt() && ran.attemptCount() == 2 && ran.failures() == 2 &&
              ran.mayHaveRunSince() == 200);
        const auto& full = byId["full"].attempts;
        CHECK(full.attemptCount() == 1 && full.failures() == 0 && !full.mayHaveRunSince());
        CHECK(byId["down"].attempts.attemptCount() == 0 && byId["down"].attempts.failures() == 1 &&
              byId["down"].attempts.lastFailureAt() == 450);
        CHECK(found.notices.size() == 1 && found.notices[0].id == "ended" &&
              found.notices[0].retryAfterMs == 500);
    }
}

// An attempt that was in flight at a kill may have run, whatever the outcomes of later attempts. Each later
// run must know since when, or it would repeat the message after its key window.
void attemptOpenAtAKillMayHaveRunInEveryLaterRun() {
    const check::Folder folder;
    const auto run = [&](const auto& work) {
        Journal journal(folder.path, kDiskBytes);
        const auto found = journal.recover();
        work(journal, found);
    };
    run([](Journal& journal, const RecoveredState&) {
        CHECK(journal.accept(message("m")) && journal.beginAttempt("m", 100));
    });
    run([](Journal& journal, const RecoveredState& found) {
        CHECK(found.messages.size() == 1 && found.messages[0].attempts.mayHaveRunSince() == 100);
        for (const RecordMs at : {200, 300}) {  // rejected, twice
            attemptWithOutcome(journal, "m", at, {false, false});
        }
    });
    run([](Journal& journal, const RecoveredState& found) {
        CHECK(found.messages.size() == 1 && found.messages[0].attempts.mayHaveRunSince() == 100);
        CHECK(journal.beginAttempt("m", 400));
    });
    run([](Journal&, const RecoveredState& found) {
        CHECK(found.messages[0].attempts.mayHaveRunSince() == 100 &&
              found.messages[0].attempts.attemptCount() == 4);
    });
}

// An outcome closes only its own attempt; an outcome of no open attempt changes nothing.
void outcomeClosesOnlyItsOwnAttempt() {
    const check::Folder folder;
    const auto run = [&](const auto& work) {
        Journal journal(folder.path, kDiskBytes);
        const auto found = journal.recover();
        CHECK(found.messages.size() == 1);
        work(journal, found.messages[0].attempts);
    };
    {
        Journal journal(folder.path, kDiskBytes);
        CHECK(journal.accept(message("m")) && journal.beginAttempt("m", 100) == 1u);
        CHECK(!journal.recordOutcome("m", 2, {false, false}) && !journal.attemptNotSent("m", 2));
        CHECK(!journal.recordOutcome("other", 1, {false, false}) &&
              !journal.recordUnsentFailure("other", 100));
    }
    run([](Journal& journal, const AttemptHistory& attempts) {
        CHECK(attempts.mayHaveRunSince() == 100 && attempts.attemptCount() == 1);
        CHECK(!journal.recordOutcome("m", 1, {false, false}));  // the attempt belongs to the previous run
        CHECK(journal.recordUnsentFailure("m", 150));
    });
    run([](Journal& journal, const AttemptHistory& attempts) {
        CHECK(attempts.mayHaveRunSince() == 100 && attempts.failures() == 1);
        CHECK(journal.beginAttempt("m", 200) == 2u && journal.recordOutcome("m", 2, {false, false}));
        CHECK(!journal.recordOutcome("m", 2, {true, true}));
    });
    run([](Journal& journal, const AttemptHistory& attempts) {
        CHECK(attempts.mayHaveRunSince() == 100 && attempts.attemptCount() == 2);
        CHECK(!journal.noticeAcknowledged("m"));  // it has not ended, so it has no notice
        CHECK(journal.recordFinalState({"m", FinalState::failed, 0}) &&
              !journal.recordFinalState({"m", FinalState::returned, 0}));
        CHECK(!journal.remove("m") && !journal.beginAttempt("m", 300));
    });
    Journal journal(folder.path, kDiskBytes);
    const auto found = journal.recover();
    CHECK(found.messages.empty() && found.notices.size() == 1 &&
          found.notices[0].finalState == FinalState::failed);
}

// The previous format has no attempt numbers and stores a failed connect like an outcome. If an attempt was
// open then, it may have run.
void attemptsWithoutNumbersAreRead() {
    struct Case {
        bool opens;  // an attempt begins at 100
        bool ran, failed;
        bool hasOutcome;  // an outcome follows
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
        if (c.hasOutcome)
            file += encodeFrame("LHR1", PayloadWriter('O').text("m").number(c.ran).number(c.failed).finish());
        writeFile(folder.path + "/messages.log", file);
        for (int run = 0; run < 2; ++run) {
            Journal journal(folder.path, kDiskBytes);
            const auto found = journal.recover();
            CHECK(found.messages.size() == 1 && found.messages[0].attempts.mayHaveRunSince() == c.since);
            CHECK(journal.recordUnsentFailure("m", 200));
        }
    }
}

/// A record of the first format, which refers to classes and tenants by position.
std::string recordWithPositions(const std::string& id, int classPosition, int tenantPosition) {
    const auto payload = PayloadWriter('T')
                             .text(id)
                             .text("key-" + id)
                             .number(7)
                             .number(classPosition)
                             .number(tenantPosition)
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

// Records hold the names of classes and tenants. Positions in records of the first format are resolved with
// the configuration at the first start that reads them, and are rewritten as names then.
void classesAndTenantsAreStoredByName() {
    const check::Folder folder;
    writeFile(folder.path + "/messages.log",
              recordWithPositions("old", 1, 1) + recordWithPositions("beyond", 9, 9));
    {
        Journal journal(folder.path, kDiskBytes, {{"a", "b"}, {"s", "t"}, {0, 2}});
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
    // The configuration lists them in another order now.
    const auto found = Journal(folder.path, kDiskBytes, {{"b", "a"}, {"t", "s"}, {1, 0}}).recover();
    CHECK(found.messages.size() == 3 && found.messages[0].messageClass == "b" &&
          found.messages[0].tenant == "t");
    CHECK(found.messages[0].effect == 2 && found.messages[2].messageClass == "b" &&
          found.messages[2].tenant == "s");
    CHECK(found.messages[2].effect == 2 && found.messages[1].messageClass.empty());
}

// An attempt that was not sent does not count, across any number of restarts. An earlier attempt that may
// have run still does.
void attemptNotSentDoesNotCount() {
    const check::Folder folder;
    {
        Journal journal(folder.path, kDiskBytes);
        journal.recover();
        CHECK(journal.accept(message("m")) && journal.accept(message("ran")));
        const auto attempt = journal.beginAttempt("m", 100);
        CHECK(attempt && journal.attemptNotSent("m", *attempt));
        CHECK(!journal.attemptNotSent("m", *attempt));  // it is no longer open
        CHECK(journal.beginAttempt("ran", 100));
    }
    {
        Journal journal(folder.path, kDiskBytes);
        const auto found = journal.recover();
        CHECK(found.messages[0].attempts.attemptCount() == 0 &&
              !found.messages[0].attempts.mayHaveRunSince());
        const auto attempt = journal.beginAttempt("ran", 200);
        CHECK(attempt && journal.attemptNotSent("ran", *attempt));
    }
    const auto found = Journal(folder.path, kDiskBytes).recover();
    CHECK(found.messages[1].attempts.attemptCount() == 1 &&
          found.messages[1].attempts.mayHaveRunSince() == 100);
}

// A process may be killed at any byte of a write: complete records are read, and the torn tail is dropped.
void tornTailIsDropped() {
    const check::Folder folder;
    const auto path = folder.path + "/messages.log";
    std::vector<std::size_t> ends;
    {
        Journal journal(folder.path, kDiskBytes);
        journal.recover();
        for (int i = 0; i < 4; ++i) {
            CHECK(journal.accept(message("m" + std::to_string(i), "LHR1" + std::string(i * 7, 'x'))));
            ends.push_back(journal.fileBytes());
        }
    }
    const auto bytes = readFile(path);
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        writeFile(path, bytes.substr(0, cut));
        std::size_t whole = 0;
        while (whole < ends.size() && ends[whole] <= cut) ++whole;
        Journal journal(folder.path, kDiskBytes);
        CHECK(journal.recover().messages.size() == whole);
        CHECK(journal.accept(message("after")));  // the next record is readable
        CHECK(Journal(folder.path, kDiskBytes).recover().messages.size() == whole + 1);
    }
    check::Chance chance(5);
    for (int round = 0; round < 300; ++round) {  // damage costs only its own record
        auto damaged = bytes;
        const auto at = check::below(chance, ends[0]);
        damaged[at] = static_cast<char>(damaged[at] ^ (1 + check::below(chance, 255)));
        writeFile(path, damaged);
        CHECK(Journal(folder.path, kDiskBytes).recover().messages.size() == 3);
        writeFile(path, check::garbage(chance, bytes));
        Journal(folder.path, kDiskBytes).recover();
    }
}

// The file and its compacted copy stay within the budget at all times, and messages are refused early enough
// to leave room for the ends of the accepted ones.
void staysWithinItsBudget() {
    const check::Folder folder;
    Journal journal(folder.path, kDiskBytes);
    journal.recover();
    const std::string big(64 * 1024, 'b');
    int accepted = 0;
    while (journal.accept(message("big" + std::to_string(accepted), big))) CHECK(++accepted < 100);
    CHECK(accepted >= 20);
    for (int round = 0; round < 8 * accepted; ++round) {
        const auto id = "big" + std::to_string(round % accepted);
        attemptWithOutcome(journal, id, round, {true, true});
        CHECK(diskUsageBytes(folder.path) <= kDiskBytes);
    }
    CHECK(Journal(folder.path, kDiskBytes).recover().messages.size() == static_cast<std::size_t>(accepted));
    for (int i = 0; i < accepted; ++i)
        journal.recordFinalState({"big" + std::to_string(i), FinalState::failed, 0});
    std::uint64_t most = 0;
    for (int i = 0; i < 400; ++i) {  // writes many times the budget
        const auto id = "m" + std::to_string(i);
        CHECK(journal.accept(message(id, big)));
        CHECK(journal.beginAttempt(id, 1));
        journal.remove(id);
        most = std::max(most, diskUsageBytes(folder.path));
    }
    // The file holds little more than the live records, as the platform counts the folder as memory.
    CHECK(most <= kDiskBytes && journal.fileBytes() < 512 * 1024);
    const auto found = Journal(folder.path, kDiskBytes).recover();
    CHECK(found.messages.empty() && found.notices.size() == static_cast<std::size_t>(accepted));
    CHECK(!std::filesystem::exists(folder.path + "/messages.log.new"));
}

// A damaged record may have been an attempt: a message that was live before it may have run, one accepted
// after it has not.
void damageMakesLiveMessagesUncertain() {
    const check::Folder folder;
    const auto path = folder.path + "/messages.log";
    std::size_t accepted = 0, attempted = 0;
    {
        Journal journal(folder.path, kDiskBytes);
        journal.recover();
        CHECK(journal.accept(message("m")) && journal.accept(message("done")));
        accepted = journal.fileBytes();
        CHECK(journal.beginAttempt("m", 100));
        attempted = journal.fileBytes();
        journal.remove("done");
        CHECK(journal.accept(message("after")));
    }
    const auto bytes = readFile(path);
    for (auto at = accepted; at < attempted; ++at) {
        auto damaged = bytes;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x20);
        writeFile(path, damaged);
        const auto found = Journal(folder.path, kDiskBytes).recover();
        CHECK(found.messages.size() == 2 && found.messages[0].id == "m" &&
              found.messages[0].attempts.mayHaveRunSince());
        CHECK(found.messages[1].id == "after" && !found.messages[1].attempts.mayHaveRunSince());
    }
}

// An id whose notice is pending is not accepted again, or the acknowledgement would remove the second
// message.
void idWithAPendingNoticeIsNotReused() {
    const check::Folder folder;
    {
        Journal journal(folder.path, kDiskBytes);
        journal.recover();
        CHECK(journal.accept(message("m")) && !journal.accept(message("m")));
        journal.recordFinalState({"m", FinalState::returned, 500});
        CHECK(!journal.accept(message("m")));
        CHECK(journal.accept(message("other")));
    }
    Journal journal(folder.path, kDiskBytes);
    const auto found = journal.recover();
    CHECK(found.notices.size() == 1 && found.messages.size() == 1);
    journal.noticeAcknowledged("m");
    CHECK(journal.accept(message("m")));
}

}  // namespace

int main() {
    laurelhaven::log::setLevel(laurelhaven::log::Level::off);
    pendingMessagesAndNoticesAreRecovered();
    attemptOpenAtAKillMayHaveRunInEveryLaterRun();
    outcomeClosesOnlyItsOwnAttempt();
    attemptsWithoutNumbersAreRead();
    classesAndTenantsAreStoredByName();
    attemptNotSentDoesNotCount();
    tornTailIsDropped();
    staysWithinItsBudget();
    damageMakesLiveMessagesUncertain();
    idWithAPendingNoticeIsNotReused();
}
