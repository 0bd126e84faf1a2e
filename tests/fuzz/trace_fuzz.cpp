// Whatever stands in a trace: decoding ends, and what was decoded is written and read back the same.
#include <cstdint>

#include "store/frame.hpp"
#include "trace/block.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace laurelhaven;
    const auto got = trace::decode({reinterpret_cast<const char*>(data), size});
    if (!got || got->header || got->records.empty()) return 0;
    trace::Block block;
    for (const auto& record : got->records) block.add(record);
    const auto again = trace::decode(block.take().substr(store::kFrameHeaderBytes));
    if (!again || again->records != got->records) __builtin_trap();
    return 0;
}
