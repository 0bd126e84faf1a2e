// Plain assertions that also hold in a release build, and what several tests share.
#pragma once

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <string>
#include <string_view>

#define CHECK(condition)                                                                 \
    do {                                                                                 \
        if (!(condition)) {                                                              \
            std::fprintf(stderr, "%s:%d: not so: %s\n", __FILE__, __LINE__, #condition); \
            std::_Exit(1);                                                               \
        }                                                                                \
    } while (false)

namespace check {

/// A folder of its own, removed at the end.
struct Folder {
    std::string path = (std::filesystem::temp_directory_path() / "laurelhaven-XXXXXX").string();
    Folder() { CHECK(mkdtemp(path.data())); }
    ~Folder() { std::filesystem::remove_all(path); }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
};

using Chance = std::mt19937_64;
inline std::size_t below(Chance& chance, std::size_t n) { return static_cast<std::size_t>(chance() % n); }

/// Feeds the text in pieces of random size.
template <class Feed>
void inCuts(std::string_view text, Chance& chance, Feed feed) {
    while (!text.empty()) {
        const std::size_t n = 1 + below(chance, below(chance, 2) ? 3 : text.size());
        feed(text.substr(0, n));
        text.remove_prefix(std::min(n, text.size()));
    }
}

/// Bytes at random, or a text with some of its bytes changed, so that garbage gets past the first line.
inline std::string garbage(Chance& chance, std::string_view like) {
    std::string text(like);
    if (below(chance, 4) == 0) text.assign(below(chance, 300), 'x');
    const std::size_t changes = text.empty() ? 0 : below(chance, 4) == 0 ? text.size() : 1 + below(chance, 4);
    for (std::size_t i = 0; i < changes; ++i) text[below(chance, text.size())] = static_cast<char>(chance());
    return text;
}

/// The settings of a small sender; `%` of them replaced by the caller where needed.
inline std::string settings(int slots = 4, int maxOpen = 6) {
    return R"({"grades":[{"name":"notice","effect":"token","give-up-ns":28000000000,"slo-ns":4000000000,)"
           R"("key-scope":"all","key-ttl-ns":15000000000,"credit":1.0,"late-share":0.5}],)"
           R"("accounts":[{"name":"acme","quota-per-s":10}],"kinds":["big"],"zones":["z"],"balancers":2,)"
           R"("ordinal":0,"weights":"nominal","domain":{"max-calls":)" +
           std::to_string(slots) +
           R"(,"bundle-max":[1],"separate-routes":[false],"loses-worth":"even"},"limits":{"attempts-cap":8,)"
           R"("cancelling":true,"connect-timeout-ns":1000000000,"keepalive-ns":5000000000,"max-open":)" +
           std::to_string(maxOpen) +
           R"(,"max-retry-after-ns":3000000000,"retry-after":true},"safety":{"answer-slack-ns":20000000,)"
           R"("cold-from":0.19,"drain-grace-ns":250000000,"fall-multiple":2.0,"overload-for-ns":2000000000,)"
           R"("warm-up-ns":14000000000}})";
}

inline std::string entry(const std::string& name, const std::string& address, int group,
                         const std::string& status = "SERVING") {
    return R"({"name":")" + name + R"(","address":")" + address + R"(","zone":"z","type":"big","group":)" +
           std::to_string(group) + R"(,"status":")" + status + R"(","weight":50.0,"since_ms":0})";
}

inline std::string list(int index, bool whole, const std::string& entries) {
    return R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" + (whole ? "true" : "false") +
           R"(,"endpoints":[)" + entries + "]}";
}

inline std::string configuration(const std::string& listen, const std::string& discovery,
                                 const std::string& entries, const std::string& set = settings(),
                                 int sockets = 1024) {
    return R"({"name":"n0","listen":")" + listen + R"(","discovery":")" + discovery +
           R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"disk_mb":3,"sockets":)" +
           std::to_string(sockets) + R"(},"known":)" + list(1, true, entries) + R"(,"settings":)" + set + "}";
}

}  // namespace check
