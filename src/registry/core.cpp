#include "registry/core.hpp"

#include <algorithm>
#include <cmath>

namespace violetwing::registry {
namespace {

constexpr std::size_t kMostName = 128;
constexpr std::size_t kMostOperations = 1000;
constexpr Micros kLeastTerm = 100'000;
constexpr Micros kMostTerm = Micros{24} * 3600 * 1'000'000;
constexpr std::int64_t kMostUnixMs = std::int64_t{1} << 49;  // as the sidecar takes it

// Names go into logs, figures and address bars: printable ASCII without blanks, quotes or commas.
bool Plain(const std::string& text) {
  return text.size() <= kMostName && std::all_of(text.begin(), text.end(), [](char c) {
           return c > ' ' && c < 0x7f && c != '"' && c != '\\' && c != ',';
         });
}

// An IPv4 address and a port, as the sidecar reads it.
bool Address(const std::string& text) {
  int dots = 0;
  int value = -1;
  std::size_t i = 0;
  for (; i < text.size() && text[i] != ':'; ++i) {
    if (text[i] == '.') {
      if (value < 0) return false;
      ++dots;
      value = -1;
    } else if (text[i] >= '0' && text[i] <= '9') {
      value = std::max(value, 0) * 10 + (text[i] - '0');
      if (value > 255) return false;
    } else {
      return false;
    }
  }
  if (dots != 3 || value < 0 || i == text.size()) return false;
  int port = 0;
  if (++i == text.size()) return false;
  for (; i < text.size(); ++i) {
    if (text[i] < '0' || text[i] > '9') return false;
    port = port * 10 + (text[i] - '0');
    if (port > 65535) return false;
  }
  return port > 0;
}

}  // namespace

std::string Wrong(const Entry& entry) {
  if (entry.id.empty() || !Plain(entry.id))
    return "id: needed, up to 128 printable characters without blanks";
  if (!Address(entry.address)) return "address: no IPv4 address with a port";
  for (const auto& [name, text] : {std::pair{"zone", &entry.zone},
                                   {"region", &entry.region},
                                   {"machine", &entry.machine},
                                   {"version", &entry.version},
                                   {"holder", &entry.holder}})
    if (!Plain(*text)) return std::string(name) + ": up to 128 printable characters without blanks";
  if (!std::isfinite(entry.weight) || entry.weight < 0 || entry.weight > 1e6)
    return "weight: not from 0 to 1e6";
  if (entry.cell < 0) return "cell: negative";
  if (entry.started_ms < 0 || entry.started_ms > kMostUnixMs) return "started: out of range";
  if (entry.lifecycle == Lifecycle::kRemoved) return "lifecycle: to remove is to deregister";
  if (entry.holder.empty() != (entry.term == 0)) return "term: a lease needs a holder, and a holder a term";
  if (entry.term != 0 && (entry.term < kLeastTerm || entry.term > kMostTerm))
    return "term: not from 0.1 s to a day";
  return "";
}

Core::Core(const Limits& limits, const State& state, Micros now)
    : limits_(limits), epoch_(state.epoch), change_(state.change) {
  for (const auto& [id, kept] : state.entries)
    entries_[id] = {kept.first, kept.second, now + kept.first.term};
  for (const auto& [key, generation] : state.keys) {
    keys_[key] = generation;
    key_ages_.push_back(key);
  }
}

const Entry* Core::Find(const std::string& id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second.entry;
}

std::int64_t Core::VersionOf(const std::string& id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() ? 0 : it->second.changed;
}

// As it is after the operations of this batch so far; null if there is none.
const Entry* Core::After(const std::string& id, const std::map<std::string, Entry>& after) const {
  const auto it = after.find(id);
  if (it == after.end()) return Find(id);
  return it->second.lifecycle == Lifecycle::kRemoved ? nullptr : &it->second;
}

std::string Core::Apply(const Operation& operation, std::map<std::string, Entry>& after,
                        Refusal& refusal) const {
  const std::string& id = operation.entry.id;
  const Entry* const now = After(id, after);
  refusal = Refusal::kConflict;
  if (operation.if_version && *operation.if_version != VersionOf(id))
    return id + ": is of version " + std::to_string(VersionOf(id));
  // Who names no holder is an operator, and may move any entry but not take its lease over unseen.
  const std::string& holder = operation.entry.holder;
  const bool registers = operation.kind == Operation::Kind::kRegister;
  if (now != nullptr && !now->holder.empty() && holder != now->holder && (registers || !holder.empty()))
    return id + ": another holds its lease";
  if (registers) {
    if (const std::string wrong = Wrong(operation.entry); !wrong.empty()) {
      refusal = Refusal::kInvalid;
      return id.substr(0, kMostName) + ": " + wrong;
    }
    after[id] = operation.entry;
    return "";
  }
  if (now == nullptr) {
    refusal = Refusal::kUnknown;
    return id.substr(0, kMostName) + ": is not registered";
  }
  Entry next = *now;
  next.lifecycle = operation.kind == Operation::Kind::kDrain ? Lifecycle::kDraining : Lifecycle::kRemoved;
  after[id] = std::move(next);
  return "";
}

Checked Core::Check(const Batch& batch) const {
  if (!Plain(batch.key))
    return Refuse(Refusal::kInvalid, "key: up to 128 printable characters without blanks");
  if (const auto it = keys_.find(batch.key); !batch.key.empty() && it != keys_.end())
    return {Refusal::kNone, "", it->second, {}};
  if (batch.operations.empty() || batch.operations.size() > kMostOperations)
    return Refuse(Refusal::kInvalid, "operations: from 1 to " + std::to_string(kMostOperations));
  std::map<std::string, Entry> after;
  for (const Operation& operation : batch.operations) {
    Refusal refusal = Refusal::kNone;
    if (std::string why = Apply(operation, after, refusal); !why.empty())
      return Refuse(refusal, std::move(why));
  }
  Change change{generation(), generation() + 1, {}, {}, {}, false};
  if (!batch.key.empty()) change.keys.emplace_back(batch.key, change.generation);
  std::size_t count = entries_.size();
  for (auto& [id, entry] : after) {
    const Entry* const before = Find(id);
    if (before == nullptr && entry.lifecycle == Lifecycle::kRemoved) continue;  // came and went in this batch
    if (before != nullptr && *before == entry) continue;
    if (before == nullptr) ++count;
    change.entries.push_back(std::move(entry));
  }
  if (count > limits_.entries)
    return Refuse(Refusal::kInvalid, "more than " + std::to_string(limits_.entries) + " entries");
  if (change.entries.empty() && batch.key.empty()) return {Refusal::kNone, "", generation(), {}};
  const std::int64_t generation = change.generation;
  return {Refusal::kNone, "", generation, std::move(change)};
}

Refusal Core::Renew(Micros now, const std::string& id, const std::string& holder) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return Refusal::kUnknown;
  if (it->second.entry.holder != holder || holder.empty()) return Refusal::kConflict;
  it->second.expires = now + it->second.entry.term;
  return Refusal::kNone;
}

bool Core::Believed(const std::string& zone, std::size_t over, std::size_t leases) const {
  if (let_go_.count(zone) > 0 || over < limits_.preserve_least) return true;
  return static_cast<double>(over) <= limits_.preserve_share * static_cast<double>(leases);
}

Checked Core::CheckExpiries(Micros now) {
  struct Zone {
    std::size_t leases = 0;
    std::size_t over = 0;
    std::size_t soon = 0;  // not renewed in the last half of their term: they would end next
  };
  std::map<std::string, Zone> zones;
  for (const auto& [id, kept] : entries_) {
    if (kept.entry.holder.empty()) continue;
    Zone& zone = zones[kept.entry.zone];
    ++zone.leases;
    zone.over += kept.expires <= now ? 1 : 0;
    zone.soon += kept.expires <= now + kept.entry.term / 2 ? 1 : 0;
  }
  preserving_.clear();
  for (const auto& [name, zone] : zones)
    // Ends that come one by one are the same event: those that are about to end count with those that have.
    if (zone.over > 0 && !Believed(name, zone.soon, zone.leases)) preserving_.insert(name);
  Change change{generation(), generation() + 1, {}, {}, {}, false};
  for (const auto& [id, kept] : entries_) {
    if (kept.entry.holder.empty() || kept.expires > now || preserving_.count(kept.entry.zone) > 0) continue;
    change.entries.push_back(kept.entry);
    change.entries.back().lifecycle = Lifecycle::kRemoved;
  }
  std::erase_if(let_go_,
                [&](const std::string& name) { return zones.count(name) == 0 || zones[name].over == 0; });
  if (change.entries.empty()) return {Refusal::kNone, "", generation(), {}};
  return {Refusal::kNone, "", change.generation, std::move(change)};
}

void Core::Commit(Micros now, const Change& change) {
  epoch_ = change.epoch();
  change_ = change.generation % kEpochUnit;
  for (const Entry& entry : change.entries) {
    if (entry.lifecycle == Lifecycle::kRemoved) {
      entries_.erase(entry.id);
      continue;
    }
    Kept& kept = entries_[entry.id];
    // A drain is no sign of life: it leaves the lease as it runs.
    const bool renews = kept.changed == 0 || entry.lifecycle == Lifecycle::kUp;
    kept.entry = entry;
    kept.changed = change.ChangedIn(entry.id);
    if (renews) kept.expires = now + entry.term;
  }
  if (change.all_keys) keys_.clear(), key_ages_.clear();
  for (const auto& [key, generation] : change.keys) {
    if (!keys_.emplace(key, generation).second) continue;
    key_ages_.push_back(key);
    if (key_ages_.size() <= limits_.keys) continue;
    keys_.erase(key_ages_.front());
    key_ages_.pop_front();
  }
  // Versions of an older epoch may have been another registry's: who knows one of them is told the whole
  // list.
  if (change.NewEpoch()) return log_.clear();
  log_.push_back(change);
  if (log_.size() > limits_.log) log_.pop_front();
}

Checked Core::CheckReplica(const Replica& replica) const {
  const Owed& owed = replica.owed;
  if (owed.generation < generation())
    return Refuse(Refusal::kOld,
                  "generation " + std::to_string(owed.generation) + " after " + std::to_string(generation()));
  if (!owed.reset && replica.since > generation())
    return Refuse(Refusal::kGap, "changes after " + std::to_string(replica.since) + ", and this is " +
                                     std::to_string(generation()));
  if (owed.generation == generation()) return {Refusal::kNone, "", generation(), {}};
  Change change{generation(), owed.generation, {}, replica.keys, replica.changed, owed.reset};
  std::set<std::string> listed;
  for (const Entry& entry : owed.entries) {
    listed.insert(entry.id);
    const Entry* const before = Find(entry.id);
    const bool removed = entry.lifecycle == Lifecycle::kRemoved;
    if (!removed && !Wrong(entry).empty())
      return Refuse(Refusal::kInvalid, entry.id.substr(0, kMostName) + ": " + Wrong(entry));
    if (removed ? before == nullptr
                : before != nullptr && *before == entry && VersionOf(entry.id) == change.ChangedIn(entry.id))
      continue;
    change.entries.push_back(entry);
  }
  if (owed.reset)
    for (const auto& [id, kept] : entries_) {
      if (listed.count(id) > 0) continue;
      change.entries.push_back(kept.entry);
      change.entries.back().lifecycle = Lifecycle::kRemoved;
    }
  return {Refusal::kNone, "", owed.generation, std::move(change)};
}

Replica Core::ReplicaSince(std::int64_t index) const {
  Replica out{index, Since(index), {}, {}, preserving_};
  for (const Entry& entry : out.owed.entries)
    if (const std::int64_t version = VersionOf(entry.id); version != 0) out.changed[entry.id] = version;
  for (auto it = key_ages_.rbegin(); it != key_ages_.rend(); ++it) {
    const std::int64_t generation = keys_.at(*it);
    if (!out.owed.reset && generation <= index) break;
    out.keys.emplace_back(*it, generation);
  }
  std::reverse(out.keys.begin(), out.keys.end());
  return out;
}

Checked Core::CheckPromotion(std::int64_t epoch) const {
  if (epoch < 1 || epoch > kMostEpoch)
    return Refuse(Refusal::kInvalid, "epoch: not from 1 to " + std::to_string(kMostEpoch));
  if (epoch <= epoch_) return Refuse(Refusal::kOld, "epoch: not above " + std::to_string(epoch_));
  return {Refusal::kNone, "", epoch * kEpochUnit,
          Change{generation(), epoch * kEpochUnit, {}, {}, {}, false}};
}

void Core::AfterPause(Micros now) {
  for (auto& [id, kept] : entries_) kept.expires = std::max(kept.expires, now + kept.entry.term);
}

std::optional<Micros> Core::NextExpiry() const {
  std::optional<Micros> next;
  for (const auto& [id, kept] : entries_)
    if (!kept.entry.holder.empty() && (!next || kept.expires < *next)) next = kept.expires;
  return next;
}

Owed Core::Whole() const {
  Owed out{generation(), true, {}};
  out.entries.reserve(entries_.size());
  for (const auto& [id, kept] : entries_) out.entries.push_back(kept.entry);
  return out;
}

Owed Core::Since(std::int64_t index) const {
  if (index == generation()) return {generation(), false, {}};
  // The change after `index` has to be in the log still: compaction is told by the whole list, not hidden.
  if (index > generation() || log_.empty() || log_.front().since > index) return Whole();
  std::map<std::string, const Entry*> last;
  for (auto it = log_.rbegin(); it != log_.rend() && it->generation > index; ++it)
    for (const Entry& entry : it->entries) last.emplace(entry.id, &entry);
  Owed out{generation(), false, {}};
  for (const auto& [id, entry] : last) out.entries.push_back(*entry);
  return out;
}

Core::Counts Core::Count(Micros now) const {
  Counts out;
  for (const auto& [id, kept] : entries_) {
    ++(kept.entry.lifecycle == Lifecycle::kUp ? out.up : out.draining);
    if (kept.entry.holder.empty()) continue;
    ++out.leases;
    out.overdue += kept.expires <= now ? 1 : 0;
  }
  return out;
}

}  // namespace violetwing::registry
