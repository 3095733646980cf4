// A deterministic cluster: replicas of one shard on a virtual clock, with a network that delays, drops,
// doubles and cuts, and disks that lose what was not synced, or all. Violated invariants are collected in
// `violations`.
#ifndef VIOLETWING_TESTS_TESTING_CLUSTER_HPP_
#define VIOLETWING_TESTS_TESTING_CLUSTER_HPP_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/random.hpp"
#include "common/time.hpp"
#include "control/consensus/membership.hpp"
#include "control/consensus/replica.hpp"
#include "testing/virtual_disk.hpp"

namespace violetwing::consensus {

class Cluster {
 public:
  static constexpr Micros kStep = 10'000;
  static constexpr Micros kReviewEvery = 50'000;  // of the groups' members

  struct Machine {
    std::string address;
    std::string disk_id;
    StoredState disk;            // what would outlive a loss of power
    std::deque<Effects> writes;  // that the disk owes
    std::size_t writing = 0;     // of them, those that it writes now, all with one sync
    Micros written_at = 0;       // when that ends
    std::unique_ptr<Replica> replica;
    Micros asleep_until = 0;  // frozen
    Micros disk_stalled_until = 0;
    Micros write_most = 20'000;        // what a write takes at most
    std::vector<std::string> applied;  // commands since its state was loaded, with those of the state before
    bool removed = false;
    bool leaving = false;  // it has told all that it is about to end
  };

  Cluster(std::size_t machines, std::size_t founders, std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < machines; ++i) {
      Machine machine;
      machine.address = "m" + std::to_string(i);
      machine.disk_id = i < founders ? "founder/" + machine.address : NewDisk();
      machines_.push_back(std::move(machine));
      if (i < founders) founders_.push_back({"founder/m" + std::to_string(i), "m" + std::to_string(i)});
    }
    for (std::size_t i = 0; i < machines; ++i) Start(i);
  }

  Micros now() const { return now_; }
  Machine& machine(std::size_t i) { return machines_[i]; }
  std::size_t size() const { return machines_.size(); }
  Random& random() { return random_; }
  const std::vector<std::string>& violations() const { return violations_; }
  const std::set<std::string>& acknowledged() const { return acknowledged_; }

  // ---- Faults ----

  void Start(std::size_t i) {
    Machine& machine = machines_[i];
    const bool founder = machine.disk_id.rfind("founder/", 0) == 0;
    machine.applied.clear();
    machine.replica = std::make_unique<Replica>(machine.disk_id, founder ? founders_ : Members{},
                                                machine.disk, Timing{}, random_.Next(), now_);
    Carry(i);
  }
  bool Up(std::size_t i) const { return machines_[i].replica != nullptr; }
  // Its writes under way end with it: the next process never sees one come later.
  void Kill(std::size_t i) { PowerOff(i); }
  // Of the writes that were not synced, a run from the start may have reached the disk.
  void PowerOff(std::size_t i) {
    Machine& machine = machines_[i];
    machine.replica.reset();
    std::size_t kept = random_.Below(machine.writes.size() + 1);
    for (const Effects& write : machine.writes)
      if (kept-- > 0)
        Store(machine, write);
      else
        break;
    machine.writes.clear();
    machine.writing = 0;
  }
  void LoseDisk(std::size_t i) {
    Machine& machine = machines_[i];
    machine.replica.reset();
    machine.writes.clear();
    machine.writing = 0;
    machine.disk = {};
    machine.disk_id = NewDisk();
  }
  void Freeze(std::size_t i, Micros span) { machines_[i].asleep_until = now_ + span; }
  void StallDisk(std::size_t i, Micros span) { machines_[i].disk_stalled_until = now_ + span; }
  void Cut(std::size_t from, std::size_t to) { cuts_.insert({from, to}); }
  void Heal() { cuts_.clear(); }
  double drop_share = 0;
  double double_share = 0;
  Micros most_delay = 3'000;
  Micros tick_every = kStep;       // at all machines at the same moment
  std::size_t compact_after = 24;  // entries
  Micros catch_up = 4'000'000;     // a machine that has started counts as lost for so long
  // May change a message on its way; false drops it.
  std::function<bool(Message&)> mutate;

  // ---- Work ----

  std::optional<std::size_t> Leader() const {
    std::optional<std::size_t> found;
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      const auto& replica = machines_[i].replica;
      if (replica != nullptr && replica->Ready() && replica->HasLease(now_) &&
          machines_[i].asleep_until <= now_ &&
          (!found || replica->term() > machines_[*found].replica->term()))
        found = i;
    }
    return found;
  }
  // Proposed at that machine, if it leads; acknowledged once it is applied there.
  bool Propose(std::size_t i, const std::string& command) {
    Machine& machine = machines_[i];
    if (machine.replica == nullptr || !IsAppended(machine.replica->Propose(command))) return false;
    Carry(i);
    return true;
  }

  void Run(Micros span) {
    const Micros until = now_ + span;
    while (now_ < until) {
      now_ += kStep;
      for (std::size_t i = 0; i < machines_.size(); ++i) {
        if (!Up(i) || machines_[i].asleep_until > now_) continue;
        FinishWrites(i);
        if (now_ % tick_every == 0) machines_[i].replica->Tick(now_);
        Carry(i);
      }
      Deliver();
      if (now_ % kReviewEvery == 0) ReviewMembers();
      CheckLeaders();
    }
  }

  // Whether all that was acknowledged stands in the state of machine `i`, in the one order.
  bool HoldsAll(std::size_t i) const {
    const std::set<std::string> held(machines_[i].applied.begin(), machines_[i].applied.end());
    return std::includes(held.begin(), held.end(), acknowledged_.begin(), acknowledged_.end());
  }

  // Whether a leader stands, and all replicas of its group are disks that are there.
  bool Whole() const {
    const auto leader = Leader();
    if (!leader) return false;
    const Members& members = machines_[*leader].replica->members();
    return members.size() == founders_.size() &&
           std::all_of(members.begin(), members.end(), [&](const Member& one) {
             return std::any_of(machines_.begin(), machines_.end(),
                                [&](const Machine& machine) { return machine.disk_id == one.id; });
           });
  }

  // One line a machine, for a failed test.
  std::string Describe() const {
    std::string out;
    for (const Machine& machine : machines_) {
      out += "\n" + machine.address + " " + machine.disk_id;
      if (machine.replica == nullptr) continue;
      const Replica& replica = *machine.replica;
      out += " term " + std::to_string(replica.term()) + " last " + std::to_string(replica.last()) +
             " applied " + std::to_string(replica.applied()) + (replica.leader() ? " leads" : "") +
             " members";
      for (const Member& member : replica.members()) out += " " + member.id;
    }
    return out;
  }

 private:
  struct Flight {
    Micros at = 0;
    std::size_t from = 0;
    std::size_t to = 0;
    Message message;
  };

  std::string NewDisk() { return "disk/" + std::to_string(++disks_); }

  static void Store(Machine& machine, const Effects& effects) {
    testing::ApplyWrite(machine.disk, {0, effects.hard, effects.replaces_log, effects.first, effects.entries,
                                       effects.snapshot});
  }

  void Carry(std::size_t i) {
    Machine& machine = machines_[i];
    while (true) {
      Effects effects = machine.replica->TakeEffects();
      const bool nothing = !effects.WritesAnything() && effects.messages.empty() &&
                           effects.messages_after_write.empty() && !effects.load && effects.committed.empty();
      if (nothing) return;
      for (const Message& message : effects.messages) Send(i, message);
      if (effects.load)
        machine.applied = nlohmann::json::parse(effects.load->state).get<std::vector<std::string>>();
      for (const auto& [index, entry] : effects.committed) Apply(machine, index, entry);
      if (effects.WritesAnything() || !machine.writes.empty()) {
        machine.writes.push_back(std::move(effects));
        BeginWrites(machine);
      } else {
        for (const Message& message : effects.messages_after_write) Send(i, message);
      }
      if (machine.replica->entries_since_snapshot() > compact_after)
        machine.replica->Compact(nlohmann::json(machine.applied).dump());
    }
  }

  // As the store does: what waits is written together once the disk is free.
  void BeginWrites(Machine& machine) {
    if (machine.writing > 0 || machine.writes.empty()) return;
    machine.writing = machine.writes.size();
    machine.written_at =
        now_ + static_cast<Micros>(random_.Below(static_cast<std::uint64_t>(machine.write_most)));
  }

  void FinishWrites(std::size_t i) {
    Machine& machine = machines_[i];
    if (machine.writing == 0 || machine.written_at > now_ || machine.disk_stalled_until > now_) return;
    const auto last = machine.writes.begin() + static_cast<std::ptrdiff_t>(machine.writing);
    const std::vector<Effects> done(std::make_move_iterator(machine.writes.begin()),
                                    std::make_move_iterator(last));
    machine.writes.erase(machine.writes.begin(), last);
    machine.writing = 0;
    for (const Effects& write : done) {
      Store(machine, write);
      for (const Message& message : write.messages_after_write) Send(i, message);
      if (!write.entries.empty())
        machine.replica->OnLogDurable(write.first + write.entries.size() - 1, write.entries.back().term);
    }
    BeginWrites(machine);
    Carry(i);
  }

  void Apply(Machine& machine, Index index, const Entry& entry) {
    const std::string text = std::to_string(entry.term) + "/" + entry.command;
    const auto [it, fresh] = committed_.emplace(index, text);
    if (!fresh && it->second != text)
      violations_.push_back("two entries at " + std::to_string(index) + ": " + it->second + " and " + text);
    if (entry.kind != EntryKind::kCommand) return;
    machine.applied.push_back(entry.command);
    acknowledged_.insert(entry.command);
  }

  void Send(std::size_t from, const Message& message) {
    std::size_t to = machines_.size();
    for (std::size_t i = 0; i < machines_.size(); ++i)
      if (machines_[i].disk_id == message.to) to = i;
    if (to == machines_.size() || random_.Uniform() < drop_share) return;
    const int copies = random_.Uniform() < double_share ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      Message sent = message;
      if (mutate && !mutate(sent)) continue;
      const Micros at = now_ + 1 + static_cast<Micros>(random_.Below(static_cast<std::uint64_t>(most_delay)));
      flights_.push_back({at, from, to, std::move(sent)});
    }
  }

  void Deliver() {
    std::vector<Flight> due;
    std::vector<Flight> later;
    for (Flight& flight : flights_) (flight.at <= now_ ? due : later).push_back(std::move(flight));
    flights_ = std::move(later);
    std::stable_sort(due.begin(), due.end(), [](const Flight& a, const Flight& b) { return a.at < b.at; });
    for (const Flight& flight : due) {
      if (cuts_.count({flight.from, flight.to}) > 0 || !Up(flight.to)) continue;
      if (machines_[flight.to].asleep_until > now_) {
        flights_.push_back(flight);
        flights_.back().at = machines_[flight.to].asleep_until;
        continue;
      }
      machines_[flight.to].replica->Step(flight.message, now_);
      Carry(flight.to);
    }
  }

  // As the processes do: machines without a vote ask the leader to be taken in.
  void ReviewMembers() {
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      if (!Up(i) || !machines_[i].replica->leader() || machines_[i].asleep_until > now_) continue;
      for (std::size_t j = 0; j < machines_.size(); ++j)
        if (Up(j) && !machines_[j].removed && machines_[j].asleep_until <= now_ && cuts_.count({j, i}) == 0 &&
            machines_[j].replica->NeedsToJoin(now_))
          machines_[i].replica->AddLearner({machines_[j].disk_id, machines_[j].address}, now_);
      for (const Machine& other : machines_) machines_[i].replica->SetDraining(other.disk_id, other.leaving);
      const MembershipPolicy policy = MakeMembershipPolicy(founders_.size(), catch_up);
      if (const auto next = NextMembership(*machines_[i].replica, policy, now_))
        machines_[i].replica->ProposeMembers(*next);
      Carry(i);
    }
  }

  void CheckLeaders() {
    for (const Machine& machine : machines_) {
      if (machine.replica == nullptr || !machine.replica->leader()) continue;
      const auto [it, fresh] = leaders_.emplace(machine.replica->term(), machine.disk_id);
      if (!fresh && it->second != machine.disk_id)
        violations_.push_back("two leaders in term " + std::to_string(machine.replica->term()));
    }
    int leases = 0;
    for (const Machine& machine : machines_)
      leases += machine.replica != nullptr && machine.asleep_until <= now_ && machine.replica->HasLease(now_);
    if (leases > 1) violations_.push_back("two leases at " + std::to_string(now_));
  }

  Micros now_ = 1'000'000;
  Random random_;
  int disks_ = 0;
  Members founders_;
  std::vector<Machine> machines_;
  std::vector<Flight> flights_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::map<Index, std::string> committed_;
  std::set<std::string> acknowledged_;
  std::map<Term, std::string> leaders_;
  std::vector<std::string> violations_;
};

}  // namespace violetwing::consensus

#endif  // VIOLETWING_TESTS_TESTING_CLUSTER_HPP_
