#include "control/instances/instance_table.hpp"

#include <algorithm>
#include <utility>

namespace violetwing {
namespace {

// Records of lost and deregistered instances are retained for this long, so that all readers receive the
// change.
constexpr Micros kRemoveAfter = 30'000'000;
// Minimum pause between two calls of `Expire` after which this process is considered to have been suspended.
constexpr Micros kSuspensionThreshold = 700'000;

constexpr Micros kMicrosPerMs = 1000;

// Returns whether the last change of the instance is missing in the reader's version vector.
bool IsUnknownTo(const VersionVector& reader, const Instance& instance) {
  const auto known = reader.find(instance.origin);
  return known == reader.end() || instance.counter > known->second;
}

}  // namespace

void InstanceTable::AssignVersion(Instance& instance) {
  instance.origin = origin_;
  instance.counter = ++counter_;
  version_vector_[origin_] = counter_;
}

void InstanceTable::Insert(Instance instance, Micros last_seen_at, Micros last_heartbeat_at) {
  Record record;
  record.id = instance.id;
  record.address = instance.address;
  record.instance = std::move(instance);
  record.last_seen_at = last_seen_at;
  record.last_heartbeat_at = last_heartbeat_at;
  records_.insert(std::move(record));
}

const InstanceTable::Record* InstanceTable::Find(const std::string& id) const {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &*it;
}

void InstanceTable::DeregisterOthersAt(const std::string& address, const std::string& id, Micros now) {
  std::vector<std::string> others;
  const auto [begin, end] = records_.get<ByAddress>().equal_range(address);
  for (auto it = begin; it != end; ++it)
    if (it->id != id && it->instance.phase != Phase::kDeregistered) others.push_back(it->id);
  for (const std::string& other : others) ApplyDeregistration(other, Phase::kDeregistered, now);
}

bool InstanceTable::Heartbeat(Instance instance, Micros now) {
  const auto it = records_.find(instance.id);
  if (it == records_.end()) {
    DeregisterOthersAt(instance.address, instance.id, now);
    AssignVersion(instance);
    Insert(std::move(instance), now, now);
    return true;
  }
  if (instance.sequence < it->instance.sequence) return false;
  records_.modify(it, [&](Record& record) {
    Instance& known = record.instance;
    const Phase phase = MergePhase(known.phase, instance.phase);
    const bool changed = phase != known.phase || instance.models != known.models ||
                         instance.address != known.address || instance.capacity != known.capacity;
    record.last_seen_at = now;
    record.last_heartbeat_at = now;
    known.sequence = instance.sequence;
    if (!changed) return;
    instance.phase = phase;
    record.address = instance.address;
    known = std::move(instance);
    AssignVersion(known);
  });
  return true;
}

void InstanceTable::MergeChanges(const std::vector<Instance>& changed, Micros now) {
  // Compares with the vector before the merge, because the changes of one origin arrive in any order.
  const VersionVector before = version_vector_;
  for (const Instance& instance : changed) {
    if (!IsUnknownTo(before, instance)) continue;
    std::uint64_t& counter = version_vector_[instance.origin];
    counter = std::max(counter, instance.counter);
    MergeRecord(instance, now);
  }
}

void InstanceTable::MergeRecord(const Instance& received, Micros now) {
  const auto it = records_.find(received.id);
  if (it == records_.end()) return Insert(received, now, 0);
  records_.modify(it, [&](Record& record) {
    Instance& known = record.instance;
    const Phase phase = MergePhase(known.phase, received.phase);
    if (received.sequence < known.sequence) return MergeStale(known, received.phase, phase);
    const bool later_heartbeat = received.sequence > known.sequence;
    if (later_heartbeat && received.phase == Phase::kReady) record.last_seen_at = now;
    known = received;
    known.phase = phase;
    record.address = known.address;
    if (phase != received.phase) AssignVersion(known);
  });
}

// Merges a record with an older heartbeat than `known`. If that record says that the instance is lost, a new
// version of `known` corrects the readers of the other process.
void InstanceTable::MergeStale(Instance& known, Phase received, Phase merged) {
  if (merged == known.phase && received != Phase::kLost) return;
  if (IsLeaving(merged)) known.phase = merged;
  AssignVersion(known);
}

void InstanceTable::MergeLastSeen(const LastSeen& seen, Micros now) {
  const auto it = records_.find(seen.id);
  if (it == records_.end()) return;
  records_.modify(it, [&](Record& record) {
    record.last_seen_at = std::max(record.last_seen_at, now - seen.age_ms * kMicrosPerMs);
    if (seen.sequence <= record.instance.sequence) return;
    record.instance.sequence = seen.sequence;
    if (record.instance.phase != Phase::kLost) return;
    record.instance.phase = Phase::kReady;
    AssignVersion(record.instance);
  });
}

void InstanceTable::ApplyDeregistration(const std::string& id, Phase phase, Micros now) {
  const auto it = records_.find(id);
  if (it == records_.end() || MergePhase(it->instance.phase, phase) == it->instance.phase) return;
  records_.modify(it, [&](Record& record) {
    record.instance.phase = phase;
    if (phase == Phase::kDeregistered) record.last_seen_at = now;
    AssignVersion(record.instance);
  });
}

void InstanceTable::SetModels(const std::string& id, std::vector<HeldModel> models) {
  const auto it = records_.find(id);
  if (it == records_.end() || it->instance.models == models) return;
  records_.modify(it, [&](Record& record) {
    record.instance.models = std::move(models);
    AssignVersion(record.instance);
  });
}

void InstanceTable::Expire(Micros now, bool has_quorum_contact) {
  const bool was_suspended = now - last_expire_at_ >= kSuspensionThreshold;
  const bool may_declare_lost = has_quorum_contact && !was_suspended;
  last_expire_at_ = now;
  for (auto it = records_.begin(); it != records_.end();) {
    const Micros since_last_seen = now - it->last_seen_at;
    const Phase phase = it->instance.phase;
    const bool inactive = phase == Phase::kDeregistered || phase == Phase::kLost;
    if (inactive && since_last_seen > kRemoveAfter) {
      it = records_.erase(it);
      continue;
    }
    if (!inactive && !may_declare_lost)
      records_.modify(it, [&](Record& record) { record.last_seen_at = now; });
    if (phase == Phase::kReady && may_declare_lost && since_last_seen > lost_after_)
      records_.modify(it, [&](Record& record) {
        record.instance.phase = Phase::kLost;
        AssignVersion(record.instance);
      });
    ++it;
  }
}

// Most readers have seen all changes; this detects them without iterating over the records.
bool InstanceTable::IsCoveredBy(const VersionVector& reader) const {
  return std::all_of(version_vector_.begin(), version_vector_.end(), [&](const auto& version) {
    const auto known = reader.find(version.first);
    return known != reader.end() && known->second >= version.second;
  });
}

std::vector<Instance> InstanceTable::ChangedSince(const VersionVector& reader) const {
  std::vector<Instance> out;
  if (IsCoveredBy(reader)) return out;
  for (const Record& record : records_)
    if (IsUnknownTo(reader, record.instance)) out.push_back(record.instance);
  return out;
}

bool InstanceTable::HasUpdatesFor(const VersionVector& reader) const {
  if (IsCoveredBy(reader)) return false;
  return std::any_of(records_.begin(), records_.end(),
                     [&](const Record& record) { return IsUnknownTo(reader, record.instance); });
}

std::vector<LastSeen> InstanceTable::LastSeenSince(Micros since, Micros now) const {
  std::vector<LastSeen> out;
  for (const Record& record : records_)
    if (record.last_heartbeat_at > since)
      out.push_back({record.id, record.instance.sequence, (now - record.last_heartbeat_at) / kMicrosPerMs});
  return out;
}

void InstanceTable::ForEach(const std::function<void(const Record&)>& visit) const {
  for (const Record& record : records_) visit(record);
}

}  // namespace violetwing
