// The file journal: what a killed process leaves, what damage leaves, and the byte budget.
#include "store/journal.hpp"

#include <fstream>
#include <iterator>
#include <map>

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
        CHECK(journal.attempt("out", 100));
        CHECK(journal.attempt("ran", 200));
        journal.outcome("ran", true, true);
        CHECK(journal.attempt("ran", 300));
        journal.outcome("ran", true, true);
        CHECK(journal.attempt("full", 400));
        journal.outcome("full", false, false);
        journal.outcome("down", false, true);
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
        CHECK(by["fresh"].destination == 7 && by["fresh"].attempts == 0 && !by["fresh"].out);
        CHECK(by["out"].out && by["out"].attempts == 1 && by["out"].sentAt == 100 && by["out"].ranAt == 0);
        CHECK(!by["ran"].out && by["ran"].attempts == 2 && by["ran"].failures == 2 && by["ran"].ranAt == 200);
        CHECK(by["full"].attempts == 1 && by["full"].failures == 0 && by["full"].ranAt == 0);
        CHECK(by["down"].attempts == 0 && by["down"].failures == 1);
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
        CHECK(journal.take(message("m")) && journal.attempt("m", 100));
    });
    life([](Journal& journal, const Recovered& found) {
        CHECK(found.messages.size() == 1 && found.messages[0].out);
        for (const RecordMs at : {200, 300}) {  // turned away, twice
            CHECK(journal.attempt("m", at));
            journal.outcome("m", false, false);
        }
    });
    life([](Journal& journal, const Recovered& found) {
        CHECK(found.messages.size() == 1 && !found.messages[0].out && found.messages[0].ranAt == 100);
        CHECK(journal.attempt("m", 400));
    });
    life([](Journal&, const Recovered& found) {
        CHECK(found.messages[0].out && found.messages[0].ranAt == 100 && found.messages[0].attempts == 4);
    });
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
        CHECK(found.messages[0].effect == 2 && found.messages[0].out && found.messages[0].attempts == 1);
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
        CHECK(journal.attempt("m", 100));
        journal.unsent("m");
        journal.unsent("m");  // nothing is left to take back
        CHECK(journal.attempt("ran", 100));
    }
    {
        Journal journal(folder.path, kDisk);
        const auto found = journal.recover();
        CHECK(found.messages[0].attempts == 0 && !found.messages[0].out && found.messages[0].ranAt == 0);
        CHECK(journal.attempt("ran", 200));
        journal.unsent("ran");
    }
    const auto found = Journal(folder.path, kDisk).recover();
    CHECK(found.messages[1].attempts == 1 && !found.messages[1].out && found.messages[1].ranAt == 100);
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
        CHECK(journal.attempt(id, round));
        journal.outcome(id, true, true);
        CHECK(diskUse(folder.path) <= kDisk);
    }
    CHECK(Journal(folder.path, kDisk).recover().messages.size() == static_cast<std::size_t>(taken));
    for (int i = 0; i < taken; ++i) journal.ended({"big" + std::to_string(i), End::failed, 0});
    std::uint64_t most = 0;
    for (int i = 0; i < 400; ++i) {  // many times the limit passes through
        const auto id = "m" + std::to_string(i);
        CHECK(journal.take(message(id, big)));
        CHECK(journal.attempt(id, 1));
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
        CHECK(journal.attempt("m", 100));
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
        CHECK(found.messages.size() == 2 && found.messages[0].id == "m" && found.messages[0].ranAt > 0);
        CHECK(found.messages[1].id == "after" && found.messages[1].ranAt == 0);
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
    classesAndTenantsAreKeptByName();
    anAttemptThatNeverLeftIsNone();
    everyTornTailIsDropped();
    budgetIsKept();
    damageLeavesDoubt();
    anIdWhoseEndIsOwedIsNotTakenAgain();
}
