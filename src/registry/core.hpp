// The registry without clock, socket and disk: entries, versions, leases, what a write does and what a
// watcher is owed. Time is passed in, in microseconds of a clock that never goes back. docs/registry.md has
// the reasons.
//
// A write is checked, made durable by the caller, and committed: Check changes nothing, and Commit takes what
// Check gave as long as no other commit lies between.
#ifndef VIOLETWING_REGISTRY_CORE_HPP_
#define VIOLETWING_REGISTRY_CORE_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace violetwing::registry {

using Micros = std::int64_t;

inline constexpr std::int64_t kEpochUnit = std::int64_t{1} << 40;  // generation = epoch * this + change
inline constexpr std::size_t kMostKeys = 65'536;  // of batches, remembered by core and store alike
inline constexpr std::int64_t kMostEpoch = (std::int64_t{1} << 13) - 1;

enum class Lifecycle { kUp, kDraining, kRemoved };

// What discovery tells of a server, and what an operator wants to know of it besides.
struct Entry {
  std::string id;
  std::string address;  // host:port
  std::string zone;
  std::string region;
  std::string machine;
  std::string version;  // of the program
  std::int64_t cell = 0;
  double weight = 1;
  std::int64_t started_ms = 0;  // Unix time
  Lifecycle lifecycle = Lifecycle::kUp;
  std::string holder;  // of its lease; empty = it has none and stays until it is deregistered
  Micros term = 0;     // of its lease

  bool operator==(const Entry&) const = default;
};

struct Operation {
  enum class Kind { kRegister, kDrain, kDeregister } kind = Kind::kRegister;
  Entry entry;                             // of the others, its id and holder alone
  std::optional<std::int64_t> if_version;  // of the entry's last change; 0 = there is none
};

// One write: all of its operations or none, as one version.
struct Batch {
  std::vector<Operation> operations;
  std::string
      key;  // of the caller's choice: a second batch with it does nothing and gets the first one's answer
};

enum class Refusal {
  kNone,
  kInvalid,   // makes no sense, whoever asks
  kConflict,  // another holder, or another version than was expected
  kUnknown,   // no such entry
  kOld,       // of an older epoch or version than what is here
  kGap,       // changes after a version that is not here
};

// What changed, as it is after it: in one version, or at a follower in all versions that it was told at once.
struct Change {
  std::int64_t since = 0;  // the version that it comes after
  std::int64_t generation = 0;
  std::vector<Entry> entries;
  std::vector<std::pair<std::string, std::int64_t>> keys;  // of the batches in it, with their versions
  std::map<std::string, std::int64_t> changed;  // versions of the entries where that is not `generation`
  bool all_keys = false;  // no other key is to be known: one of a version that is lost must be done again

  std::int64_t ChangedIn(const std::string& id) const {
    const auto it = changed.find(id);
    return it == changed.end() ? generation : it->second;
  }
  std::int64_t epoch() const { return generation / kEpochUnit; }
  bool NewEpoch() const { return epoch() != since / kEpochUnit; }
};

struct Checked {
  Refusal refusal = Refusal::kNone;
  std::string why;
  std::int64_t generation = 0;   // after the write; also of a repeat, and of a write that changes nothing
  std::optional<Change> change;  // to be made durable and committed; none if nothing changes
};

// What a reader is told: the whole list, or what has changed after its index.
struct Owed {
  std::int64_t generation = 0;
  bool reset = false;
  std::vector<Entry> entries;
};

// What a follower is told by the registry it follows: with it, it is that registry's equal.
struct Replica {
  std::int64_t since = 0;  // the version that the follower is taken to have, if it is not the whole list
  Owed owed;               // the entries with their leases
  std::map<std::string, std::int64_t> changed;
  std::vector<std::pair<std::string, std::int64_t>> keys;
  std::set<std::string> preserving;
};

struct Limits {
  std::size_t log = 4096;        // versions kept for watchers
  std::size_t entries = 20'000;  // a list of more is longer than a sidecar takes
  std::size_t keys = kMostKeys;
  double preserve_share = 0.34;    // of a zone's leases; over this, their ends are not believed
  std::size_t preserve_least = 3;  // so many at least
};

// Empty if the entry makes sense, else what does not, in one line.
std::string Wrong(const Entry& entry);

class Core {
 public:
  // What a store holds: the entries with the version of their last change, and the keys with theirs.
  struct State {
    std::int64_t epoch = 1;
    std::int64_t change = 0;
    std::map<std::string, std::pair<Entry, std::int64_t>> entries;
    std::vector<std::pair<std::string, std::int64_t>> keys;  // in order of their versions
  };

  // Every lease gets a full term from `now`.
  Core(const Limits& limits, const State& state, Micros now);

  Checked Check(const Batch& batch) const;
  // Extends a lease. No version: nobody who reads the list learns of it.
  Refusal Renew(Micros now, const std::string& id, const std::string& holder);
  // The leases that are over by now, as one change; those under self-preservation are not in it.
  Checked CheckExpiries(Micros now);
  void Commit(Micros now, const Change& change);

  // What a follower makes of what it is told. Refused, with nothing to change, if it is of an older epoch, of
  // a version of the same epoch before its own, or leaves versions out.
  Checked CheckReplica(const Replica& replica) const;
  Replica ReplicaSince(std::int64_t index) const;
  // The first version of a later epoch, with the list as it is. kOld if the epoch is not above this one.
  Checked CheckPromotion(std::int64_t epoch) const;
  // What a follower is told of its registry's self-preservation.
  void SetPreserving(std::set<std::string> zones) { preserving_ = std::move(zones); }

  // The clock stood or the process did: leases that seem over are given a full term, as nobody could renew
  // them.
  void AfterPause(Micros now);
  // When CheckExpiries has something to look at next.
  std::optional<Micros> NextExpiry() const;

  Owed Whole() const;
  Owed Since(std::int64_t index) const;
  std::int64_t generation() const { return epoch_ * kEpochUnit + change_; }
  std::int64_t epoch() const { return epoch_; }
  bool Ahead(std::int64_t index) const { return index > generation(); }
  const Entry* Find(const std::string& id) const;
  std::int64_t VersionOf(const std::string& id) const;  // of its last change; 0 = there is none

  // Zones whose ended leases are not believed.
  const std::set<std::string>& preserving() const { return preserving_; }
  // An operator believes them: what is over ends at the next look.
  void StopPreserving(const std::string& zone) { let_go_.insert(zone); }

  struct Counts {
    std::size_t up = 0;
    std::size_t draining = 0;
    std::size_t leases = 0;
    std::size_t overdue = 0;  // kept by self-preservation
  };
  Counts Count(Micros now) const;

 private:
  struct Kept {
    Entry entry;
    std::int64_t changed = 0;
    Micros expires = 0;
  };

  Checked Refuse(Refusal refusal, std::string why) const {
    return {refusal, std::move(why), generation(), {}};
  }
  std::string Apply(const Operation& operation, std::map<std::string, Entry>& after, Refusal& refusal) const;
  const Entry* After(const std::string& id, const std::map<std::string, Entry>& after) const;
  bool Believed(const std::string& zone, std::size_t over, std::size_t leases) const;

  Limits limits_;
  std::int64_t epoch_;
  std::int64_t change_;
  std::map<std::string, Kept> entries_;
  std::deque<Change> log_;
  std::map<std::string, std::int64_t> keys_;
  std::deque<std::string> key_ages_;
  std::set<std::string> preserving_;
  std::set<std::string> let_go_;
};

}  // namespace violetwing::registry

#endif  // VIOLETWING_REGISTRY_CORE_HPP_
