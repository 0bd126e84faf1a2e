#include "soak/message_class.hpp"

namespace laurelhaven::lab::soak {
namespace {

std::string nanoseconds(milliseconds span) { return std::to_string(std::chrono::nanoseconds(span).count()); }

const char* word(Effect effect) {
    switch (effect) {
        case Effect::pure: return "pure";
        case Effect::keyed: return "token";
        case Effect::unsafe: break;
    }
    return "side_effect";
}

std::string gradeJson(const MessageClass& its) {
    const auto window = its.effect == Effect::keyed ? kKeyWindow : milliseconds{};
    return std::string(R"({"name":")") + its.name + R"(","effect":")" + word(its.effect) +
           R"(","give-up-ns":)" + nanoseconds(its.longest) + R"(,"slo-ns":)" +
           nanoseconds(milliseconds(1000)) + R"(,"key-scope":"all","key-ttl-ns":)" + nanoseconds(window) +
           R"(,"credit":1.0,"late-share":0.5})";
}

}  // namespace

std::string gradesJson() {
    std::string all;
    for (const auto& its : kClasses) all += (all.empty() ? "[" : ",") + gradeJson(its);
    return all + "]";
}

}  // namespace laurelhaven::lab::soak
