// The store of record: what the sender has taken on and still owes, beyond the life of its process. Another
// store (a database, say) takes the place of the file journal behind this interface.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace laurelhaven::store {

using RecordMs = std::int64_t;  ///< milliseconds on the time line of src/clock: it spans restarts

/// A message as it was taken on, with what its attempts have come to.
struct Taken {
    std::string id, key;
    std::uint64_t destination = 0;
    /// By name: a later life may list them in another order. Empty: not known any more.
    std::string grade, tenant;
    int effect = 0;  ///< of its class when it was taken: 0 may be repeated, 1 by its key, 2 may not
    RecordMs deadline = 0;
    std::shared_ptr<const std::string> body;
    std::uint32_t attempts = 0;
    std::uint32_t failures = 0;  ///< attempts known to have failed, not merely been turned away
    bool out = false;            ///< an attempt has no outcome on record: it may have run
    RecordMs ranAt = 0;          ///< when the first attempt that may have run was sent; 0: none has
    RecordMs sentAt = 0;         ///< when the last one was
};

enum class End { failed, returned };
/// An end that the platform has not yet been heard to know.
struct Owed {
    std::string id;
    End end = End::failed;
    std::int64_t afterMs = 0;  ///< for returned: come again after so long; 0: not told
};

struct Recovered {
    std::vector<Taken> messages;  ///< in the order in which they were taken
    std::vector<Owed> notices;
};

/// Calls are made by one thread at a time.
///
/// take() and attempt() ask for something to be done, and are refused while the record can't be written.
/// The others tell what has happened already: they can't be refused, and a store that can't write them
/// keeps them, in order, until it can.
class Store {
  public:
    virtual ~Store() = default;
    /// What an earlier life left. Called once, before anything else.
    virtual Recovered recover() = 0;
    /// False: there is no room for it, or it could not be written; then it is not on record.
    virtual bool take(const Taken& message) = 0;
    /// Before the first byte of a call. False: it could not be written, so the call must not go out.
    virtual bool attempt(const std::string& id, RecordMs at) = 0;
    /// The attempt on record never left, and its call goes on: it was none.
    virtual void unsent(const std::string& id) = 0;
    virtual void outcome(const std::string& id, bool mayHaveRun, bool failed) = 0;
    /// Delivered, over, or refused in its own turn: nothing more is owed.
    virtual void done(const std::string& id) = 0;
    /// Ended undelivered; owed until `noticed`.
    virtual void ended(const Owed& notice) = 0;
    virtual void noticed(const std::string& id) = 0;
    /// True while something that has happened could not be written yet.
    virtual bool behind() const { return false; }
    /// Tries again to write that. True when nothing is left to write.
    virtual bool flush() { return true; }
};

}  // namespace laurelhaven::store
