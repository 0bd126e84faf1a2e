#include "overload/memory_pool.hpp"

#include "metrics/metrics.hpp"

namespace laurelhaven::overload {

MemoryPool::MemoryPool(std::string_view purpose, std::size_t limitBytes)
    : purpose_(purpose), limitBytes_(limitBytes) {
    metrics::setGauge("memory_bytes", "purpose", purpose_,
                      [this] { return static_cast<double>(usedBytes()); });
    metrics::setGauge("memory_limit_bytes", "purpose", purpose_,
                      [this] { return static_cast<double>(limitBytes_); });
}

MemoryPool::~MemoryPool() {
    metrics::setGauge("memory_bytes", "purpose", purpose_, {});
    metrics::setGauge("memory_limit_bytes", "purpose", purpose_, {});
}

bool MemoryPool::tryReserve(std::size_t bytes) {
    auto used = usedBytes_.load();
    do {
        if (used + bytes > limitBytes_) return false;
    } while (!usedBytes_.compare_exchange_weak(used, used + bytes));
    return true;
}

}  // namespace laurelhaven::overload
