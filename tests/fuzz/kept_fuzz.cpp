// libFuzzer target: whatever a kept list holds, reading it ends, and what comes out can be merged and judged.
#include "kept/kept.hpp"
#include "membership/membership.hpp"

using namespace laurelhaven;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    constexpr trust::RecordMs kNow = 1'800'000'000'000;
    auto loaded = kept::parse({reinterpret_cast<const char*>(data), size}, "", kNow);
    membership::Membership list({});
    list.restore(loaded.list.index, loaded.list.epoch, loaded.list.churn);
    for (auto& [name, entry] : loaded.list.entries) list.restore(std::move(entry));
    list.applyConfiguration({}, kNow);
    for (const auto& entry : list.entries()) {
        const auto judged = list.assess(*entry, kNow);
        if (!(judged.confidence >= 0 && judged.confidence <= 1)) __builtin_trap();
        if (entry->isTombstone() && judged.level != trust::TrustLevel::refuted) __builtin_trap();
        // What is written of it can be read again, and is the same.
        const auto again = kept::parse(kept::encodeHeader("n", kNow) + kept::encode(*entry), "n", kNow);
        if (again.list.entries.size() != 1 ||
            !(again.list.entries.begin()->second.endpoint == entry->endpoint))
            __builtin_trap();
    }
    return 0;
}
