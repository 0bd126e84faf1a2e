#include "trace/file.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>

#include "store/frame.hpp"

namespace laurelhaven::trace {
namespace {

constexpr std::size_t kPiece = 256 * 1024;  // read at once

[[noreturn]] void bad(const std::string& path, const std::string& what) { throw Bad(path + ": " + what); }

}  // namespace

Writer::Writer(std::string path, const Header& header) : path_(std::move(path)), part_(path_ + ".part") {
    file_.reset(std::fopen(part_.c_str(), "wb"));
    if (!file_) bad(part_, std::string("can't be written: ") + std::strerror(errno));
    put(framed(header));
}

Writer::~Writer() {
    if (!file_) return;
    std::error_code ignored;
    std::filesystem::remove(part_, ignored);
}

void Writer::put(const std::string& bytes) {
    if (std::fwrite(bytes.data(), 1, bytes.size(), file_.get()) != bytes.size())
        bad(part_, std::string("can't be written: ") + std::strerror(errno));
}

void Writer::add(const Record& record) {
    block_.add(record);
    ++records_;
    if (block_.full()) put(block_.take());
}

void Writer::close() {
    if (!block_.empty()) put(block_.take());
    if (std::fflush(file_.get()) != 0) bad(part_, std::string("can't be written: ") + std::strerror(errno));
    file_.reset();
    std::error_code error;
    std::filesystem::rename(part_, path_, error);
    if (error) bad(path_, "can't be put in place: " + error.message());
}

Reader::Reader(const std::string& path) : path_(path), file_(std::fopen(path.c_str(), "rb")) {
    if (!file_) bad(path, std::string("can't be read: ") + std::strerror(errno));
    fill();
    const auto payload = store::decodeFirstFrame(buffer_, kMark, kLongestBlock);
    const auto first = decode(payload);
    if (!first || !first->header)
        bad(path, buffer_.substr(0, kMark.size()) == kMark ? "byte 0: its header is damaged"
                                                           : "is no trace: it does not begin with LHT1");
    header_ = *first->header;
    if (header_.version > kVersion)
        bad(path, "has version " + std::to_string(header_.version) + ", and this program reads up to " +
                      std::to_string(kVersion) + ": read it with a newer one");
    at_ = store::kFrameHeaderBytes + payload.size();
}

// Keeps a whole block in the buffer, or all that is left of the file.
void Reader::fill() {
    if (ended_ || buffer_.size() - at_ >= store::kFrameHeaderBytes + kLongestBlock) return;
    buffer_.erase(0, at_);
    base_ += at_;
    at_ = 0;
    const auto had = buffer_.size();
    buffer_.resize(had + kPiece);
    const auto got = std::fread(buffer_.data() + had, 1, kPiece, file_.get());
    buffer_.resize(had + got);
    ended_ = got < kPiece;
}

bool Reader::block() {
    for (;;) {
        fill();
        const auto left = std::string_view(buffer_).substr(at_);
        if (left.empty()) return false;
        const auto payload = store::decodeFirstFrame(left, kMark, kLongestBlock);
        auto found = payload.empty() ? std::nullopt : decode(payload);
        if (found) {
            at_ += store::kFrameHeaderBytes + payload.size();
            if (found->header) continue;  // files may be joined end to end
            records_ = std::move(found->records);
            next_ = 0;
            if (!records_.empty()) return true;
            continue;
        }
        // Damage: go on at the next mark. What is left at the end of the file without one is a cut block.
        if (damagedAt_ < 0) damagedAt_ = static_cast<std::int64_t>(base_ + at_);
        const auto next = left.find(kMark, 1);
        auto skip = next == std::string_view::npos ? left.size() : next;
        if (next == std::string_view::npos && ended_) cut_ = true;
        // A mark may stand across the end of what was read.
        if (next == std::string_view::npos && !ended_) skip = left.size() - (kMark.size() - 1);
        damaged_ += skip;
        at_ += skip;
    }
}

bool Reader::next(Record& record) {
    if (next_ >= records_.size() && !block()) return false;
    record = std::move(records_[next_++]);
    return true;
}

}  // namespace laurelhaven::trace
