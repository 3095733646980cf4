#include "control/instances/instance_table.hpp"

#include <algorithm>
#include <utility>

namespace violetwing {
namespace {

// A record of a server that is gone or lost is kept so long, so that all readers come to know of it.
constexpr Micros kForgetAfter = 30'000'000;
// A pause between two looks at the table by which this process itself stood still.
constexpr Micros kStoodStill = 700'000;

}  // namespace

void InstanceTable::Stamp(Instance& instance) {
  instance.origin = origin_;
  instance.counter = ++counter_;
  known_[origin_] = counter_;
}

void InstanceTable::Insert(Instance instance, Micros heard_at, Micros heard_directly_at) {
  Record record;
  record.id = instance.id;
  record.address = instance.address;
  record.instance = std::move(instance);
  record.heard_at = heard_at;
  record.heard_directly_at = heard_directly_at;
  records_.insert(std::move(record));
}

const InstanceTable::Record* InstanceTable::Find(const std::string& id) const {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &*it;
}

void InstanceTable::RetireOthersAt(const std::string& address, const std::string& id, Micros now) {
  std::vector<std::string> others;
  const auto [begin, end] = records_.get<ByAddress>().equal_range(address);
  for (auto it = begin; it != end; ++it)
    if (it->id != id && it->instance.phase != Phase::kDeregistered) others.push_back(it->id);
  for (const std::string& other : others) Leave(other, Phase::kDeregistered, now);
}

bool InstanceTable::Heartbeat(Instance instance, Micros now) {
  const auto it = records_.find(instance.id);
  if (it == records_.end()) {
    RetireOthersAt(instance.address, instance.id, now);
    Stamp(instance);
    Insert(std::move(instance), now, now);
    return true;
  }
  if (instance.sequence < it->instance.sequence) return false;
  records_.modify(it, [&](Record& record) {
    Instance& known = record.instance;
    const Phase phase = LaterPhase(known.phase, instance.phase);
    const bool changed = phase != known.phase || instance.models != known.models ||
                         instance.address != known.address || instance.capacity != known.capacity;
    record.heard_at = record.heard_directly_at = now;
    known.sequence = instance.sequence;
    if (!changed) return;
    instance.phase = phase;
    record.address = instance.address;
    known = std::move(instance);
    Stamp(known);
  });
  return true;
}

void InstanceTable::Merge(const std::vector<Instance>& changed, Micros now) {
  // By what was known before: the changes of one process come in any order.
  const VersionVector known = known_;
  for (const Instance& instance : changed) {
    const auto seen = known.find(instance.origin);
    if (seen != known.end() && instance.counter <= seen->second) continue;
    std::uint64_t& counter = known_[instance.origin];
    counter = std::max(counter, instance.counter);
    Merge(instance, now);
  }
}

void InstanceTable::Merge(const Instance& instance, Micros now) {
  const auto it = records_.find(instance.id);
  if (it == records_.end()) return Insert(instance, now, 0);
  records_.modify(it, [&](Record& record) {
    Instance& known = record.instance;
    const Phase phase = LaterPhase(known.phase, instance.phase);
    if (instance.sequence < known.sequence) {
      // It is known better here: readers of the other process are to hear that.
      if (phase != known.phase || instance.phase == Phase::kLost) {
        if (Leaves(phase)) known.phase = phase;
        Stamp(known);
      }
      return;
    }
    const Phase told = instance.phase;
    if (instance.sequence > known.sequence && told == Phase::kReady) record.heard_at = now;
    known = instance;
    known.phase = phase;
    record.address = known.address;
    if (phase != told) Stamp(known);
  });
}

void InstanceTable::Hear(const LastSeen& heard, Micros now) {
  const auto it = records_.find(heard.id);
  if (it == records_.end()) return;
  records_.modify(it, [&](Record& record) {
    record.heard_at = std::max(record.heard_at, now - heard.age_ms * 1000);
    if (heard.sequence <= record.instance.sequence) return;
    record.instance.sequence = heard.sequence;
    if (record.instance.phase != Phase::kLost) return;
    record.instance.phase = Phase::kReady;
    Stamp(record.instance);
  });
}

void InstanceTable::Leave(const std::string& id, Phase phase, Micros now) {
  const auto it = records_.find(id);
  if (it == records_.end() || LaterPhase(it->instance.phase, phase) == it->instance.phase) return;
  records_.modify(it, [&](Record& record) {
    record.instance.phase = phase;
    if (phase == Phase::kDeregistered) record.heard_at = now;
    Stamp(record.instance);
  });
}

void InstanceTable::SetModels(const std::string& id, std::vector<HeldModel> models) {
  const auto it = records_.find(id);
  if (it == records_.end() || it->instance.models == models) return;
  records_.modify(it, [&](Record& record) {
    record.instance.models = std::move(models);
    Stamp(record.instance);
  });
}

void InstanceTable::Expire(Micros now, bool has_quorum_contact) {
  const bool trusted = has_quorum_contact && now - expired_at_ < kStoodStill;
  expired_at_ = now;
  for (auto it = records_.begin(); it != records_.end();) {
    const Micros silent = now - it->heard_at;
    const Phase phase = it->instance.phase;
    const bool over = phase == Phase::kDeregistered || phase == Phase::kLost;
    if (over && silent > kForgetAfter) {
      it = records_.erase(it);
      continue;
    }
    if (!over && !trusted) records_.modify(it, [&](Record& record) { record.heard_at = now; });
    if (phase == Phase::kReady && trusted && silent > lost_after_)
      records_.modify(it, [&](Record& record) {
        record.instance.phase = Phase::kLost;
        Stamp(record.instance);
      });
    ++it;
  }
}

// Most callers know all: their vector tells it without a look at the records.
bool InstanceTable::Covers(const VersionVector& known) const {
  return std::all_of(known_.begin(), known_.end(), [&](const auto& version) {
    const auto seen = known.find(version.first);
    return seen != known.end() && seen->second >= version.second;
  });
}

std::vector<Instance> InstanceTable::ChangedSince(const VersionVector& known) const {
  std::vector<Instance> out;
  if (Covers(known)) return out;
  for (const Record& record : records_) {
    const auto seen = known.find(record.instance.origin);
    if (seen == known.end() || record.instance.counter > seen->second) out.push_back(record.instance);
  }
  return out;
}

bool InstanceTable::Misses(const VersionVector& known) const {
  if (Covers(known)) return false;
  return std::any_of(records_.begin(), records_.end(), [&](const Record& record) {
    const auto seen = known.find(record.instance.origin);
    return seen == known.end() || record.instance.counter > seen->second;
  });
}

std::vector<LastSeen> InstanceTable::HeardSince(Micros since, Micros now) const {
  std::vector<LastSeen> out;
  for (const Record& record : records_)
    if (record.heard_directly_at > since)
      out.push_back({record.id, record.instance.sequence, (now - record.heard_directly_at) / 1000});
  return out;
}

void InstanceTable::ForEach(const std::function<void(const Record&)>& visit) const {
  for (const Record& record : records_) visit(record);
}

}  // namespace violetwing
