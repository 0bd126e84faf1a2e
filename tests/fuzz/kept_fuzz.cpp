// libFuzzer target: whatever a kept list holds, reading it ends, and what comes out can be merged and judged.
#include "kept/kept.hpp"
#include "membership/membership.hpp"

using namespace laurelhaven;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    constexpr trust::RecordMs kNow = 1'800'000'000'000;
    auto loaded = kept::read({reinterpret_cast<const char*>(data), size}, "", kNow);
    membership::Membership list({});
    list.restore(loaded.image.index, loaded.image.epoch, loaded.image.churn);
    for (auto& [name, entry] : loaded.image.entries) list.restore(std::move(entry));
    list.configured({}, kNow);
    for (const auto& entry : list.entries()) {
        const auto judged = list.judge(*entry, kNow);
        if (!(judged.figure >= 0 && judged.figure <= 1)) __builtin_trap();
        if (entry->tombstone() && judged.level != trust::Level::refuted) __builtin_trap();
        // What is written of it can be read again, and is the same.
        const auto again = kept::read(kept::header("n", kNow) + kept::record(*entry), "n", kNow);
        if (again.image.entries.size() != 1 || !(again.image.entries.begin()->second.is == entry->is))
            __builtin_trap();
    }
    return 0;
}
