// Accounts for the memory that one purpose occupies, against its limit. Safe for use by several threads.
#pragma once

#include <atomic>
#include <cstddef>
#include <string_view>
#include <utility>

namespace laurelhaven::overload {

class MemoryPool {
  public:
    /// Publishes usage and limit as gauges with the label `purpose`, which is one of a fixed set.
    MemoryPool(std::string_view purpose, std::size_t limitBytes);
    ~MemoryPool();
    MemoryPool(const MemoryPool&) = delete;
    MemoryPool& operator=(const MemoryPool&) = delete;

    std::size_t limitBytes() const { return limitBytes_; }
    std::size_t usedBytes() const { return usedBytes_.load(std::memory_order_relaxed); }
    bool isOver() const { return usedBytes() > limitBytes_; }
    /// Replaces an amount accounted before by a new one, whether or not that fits.
    void account(std::size_t before, std::size_t now) { usedBytes_ += now - before; }
    /// Accounts for `bytes` more if they fit.
    bool tryReserve(std::size_t bytes);
    void release(std::size_t bytes) { usedBytes_ -= bytes; }

  private:
    std::string_view purpose_;
    std::size_t limitBytes_;
    std::atomic<std::size_t> usedBytes_{0};
};

/// An amount reserved from a pool, which is returned on destruction.
class MemoryReservation {
  public:
    /// Without a pool nothing is limited.
    explicit MemoryReservation(MemoryPool* pool = nullptr) : pool_(pool) {}
    ~MemoryReservation() { shrinkTo(0); }
    MemoryReservation(const MemoryReservation&) = delete;
    MemoryReservation& operator=(const MemoryReservation&) = delete;

    /// True if `bytes` are reserved now. On false the amount stays as it was.
    bool growTo(std::size_t bytes) {
        if (!pool_ || bytes <= bytes_) return true;
        if (!pool_->tryReserve(bytes - bytes_)) return false;
        bytes_ = bytes;
        return true;
    }
    void shrinkTo(std::size_t bytes) {
        if (pool_ && bytes < bytes_) pool_->release(std::exchange(bytes_, bytes) - bytes);
    }

  private:
    MemoryPool* pool_;
    std::size_t bytes_ = 0;
};

}  // namespace laurelhaven::overload
