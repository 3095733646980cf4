// Exhaustive exploration of the states that the replicas of one group can reach through all event orders:
// delayed, reordered or lost messages, elections at any time, writes that complete at any time, restarts, a
// lost disk, and a learner that replaces it. The replicas run the production code.
//
// The clock does not advance and all durations are 0, so any timer can fire at any time and no lease delays a
// vote. The event orders possible with real durations are therefore a subset of those explored. When no
// process can stop any more, writes complete immediately, since delaying the messages that wait for them has
// the same effect. Not explored are heartbeats (appends also carry the commit index), snapshots, and the
// delivery of a message after a later one of the same kind was sent on the same link.
#ifndef VIOLETWING_TESTS_TESTING_EXPLORATION_HPP_
#define VIOLETWING_TESTS_TESTING_EXPLORATION_HPP_

#include <xxhash.h>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <unordered_set>
#include <utility>
#include <vector>

#include "common/time.hpp"
#include "control/consensus/encoding.hpp"
#include "control/consensus/replica.hpp"
#include "testing/virtual_disk.hpp"

namespace violetwing::consensus {

/// Limits on the events that would otherwise make the state space infinite, and on the number of states.
struct Bounds {
  int proposals = 0;
  int elections = 0;
  int restarts = 0;
  int lost_disks = 0;
  int leader_ticks = 0;  // these resend lost messages
  int resignations = 0;
  std::size_t max_states = 0;
};

/// A depth-first search of the state space that checks the safety properties in each state.
class Exploration {
 public:
  static constexpr std::size_t kMachines = 3;
  static constexpr Micros kNow = 1'000'000;

  explicit Exploration(Bounds bounds) : bounds_(bounds) {
    timing_.heartbeat_interval = timing_.min_election_timeout = timing_.contact_skew =
        timing_.caught_up_validity = 0;
    timing_.lease_duration = timing_.startup_election_delay = timing_.election_slot_duration =
        timing_.startup_period = 0;
    timing_.append_retry_interval = 0;
    for (std::size_t i = 0; i < kMachines; ++i)
      bootstrap_members_.push_back({BootstrapId(i), "m" + std::to_string(i)});
  }

  /// Visits all states within the bounds. Returns false if there are more than `bounds.max_states`.
  bool Run() {
    State first;
    first.remaining = bounds_;
    for (std::size_t i = 0; i < kMachines; ++i) {
      first.machines[i].disk_id = BootstrapId(i);
      StartMachine(first, i);
    }
    Visit(std::move(first));
    while (!frontier_.empty()) {
      if (visited_.size() > bounds_.max_states) return false;
      const State state = std::move(frontier_.back());
      frontier_.pop_back();
      Expand(state);
    }
    return true;
  }

  /// Number of distinct states visited.
  std::size_t states() const { return visited_.size(); }
  /// The maximum number of entries committed in one state.
  std::size_t max_committed() const { return max_committed_; }
  /// The maximum number of leaders, in successive terms, on the path to one state.
  int max_leaders() const { return max_leaders_; }
  const std::vector<std::string>& violations() const { return violations_; }
  /// Called for each delivered message. May modify it, to verify that the checks detect faults.
  std::function<void(Message&)> mutate;

 private:
  struct Machine {
    std::string disk_id;
    std::shared_ptr<const Replica> replica;
    StoredState disk;
    std::deque<Effects> writes;
    std::uint64_t hash = 0;  // of all fields above
  };
  struct InFlightMessage {
    Message message;
    std::uint64_t hash = 0;
  };
  using Link = std::tuple<ReplicaId, ReplicaId, MessageKind>;
  struct State {
    std::array<Machine, kMachines> machines;
    std::map<Link, InFlightMessage> network;
    Bounds remaining;
    std::map<Index, std::pair<Term, std::string>> committed;
    std::map<Term, ReplicaId> leaders;
    ReplicaId lost_replica;  // the replica whose disk was lost; empty if none
  };

  static ReplicaId BootstrapId(std::size_t i) { return "f" + std::to_string(i); }

  // ---- Events: each visits the resulting states ----

  void Expand(const State& state) {
    for (const auto& [link, sent] : state.network) DeliverMessage(state, link, sent.message);
    for (std::size_t i = 0; i < kMachines; ++i) {
      if (!state.machines[i].writes.empty()) CompleteWrite(state, i);
      if (state.remaining.restarts > 0) Restart(state, i);
      if (state.remaining.lost_disks > 0) LoseDisk(state, i);
      if (state.machines[i].replica->leader())
        ExpandLeader(state, i);
      else if (state.remaining.elections > 0 &&
               state.machines[i].replica->IsMember(state.machines[i].disk_id))
        Transition(state, i, [](State& next, Replica& replica) {
          --next.remaining.elections;
          replica.Tick(kNow);
        });
    }
  }

  void ExpandLeader(const State& state, std::size_t i) {
    if (state.remaining.proposals > 0)
      Transition(state, i, [](State& next, Replica& replica) {
        replica.Propose("c" + std::to_string(--next.remaining.proposals));
      });
    if (state.remaining.leader_ticks > 0)
      Transition(state, i, [](State& next, Replica& replica) {
        --next.remaining.leader_ticks;
        replica.Tick(kNow);
      });
    if (state.remaining.resignations > 0)
      Transition(state, i, [](State& next, Replica& replica) {
        --next.remaining.resignations;
        replica.Resign(kNow);
      });
    if (state.lost_replica.empty()) return;
    const Members members = state.machines[i].replica->members();
    if (state.machines[i].replica->IsMember(state.lost_replica))
      Transition(state, i, [&](State&, Replica& replica) {
        Members shrunk = members;
        std::erase_if(shrunk, [&](const Member& member) { return member.id == state.lost_replica; });
        replica.ProposeMembers(shrunk);
      });
    for (const Machine& machine : state.machines) {
      const Member learner{machine.disk_id, "m"};
      if (state.machines[i].replica->IsMember(learner.id)) continue;
      Transition(state, i, [&](State&, Replica& replica) { replica.AddLearner(learner, kNow); });
      for (const FollowerStatus& status : state.machines[i].replica->FollowerStatuses())
        if (status.member.id == learner.id && status.caught_up && members.size() < kMachines)
          Transition(state, i, [&](State&, Replica& replica) {
            Members grown = members;
            grown.push_back(learner);
            replica.ProposeMembers(grown);
          });
    }
  }

  void DeliverMessage(const State& state, const Link& link, const Message& message) {
    for (std::size_t i = 0; i < kMachines; ++i) {
      if (state.machines[i].disk_id != message.to) continue;
      Transition(state, i, [&](State& next, Replica& replica) {
        next.network.erase(link);
        Message delivered = message;
        if (mutate) mutate(delivered);
        replica.Step(delivered, kNow);
      });
    }
  }

  void CompleteWrite(const State& state, std::size_t i) {
    Transition(state, i, [&](State& next, Replica& replica) { ApplyWrite(next, i, replica); });
  }

  void ApplyWrite(State& state, std::size_t i, Replica& replica) {
    Machine& machine = state.machines[i];
    const Effects write = std::move(machine.writes.front());
    machine.writes.pop_front();
    testing::ApplyWrite(machine.disk, {0, write.hard_state, write.replaces_log, write.first_index,
                                       write.entries, write.snapshot});
    for (const Message& message : write.messages_after_write) Send(state, message);
    if (!write.entries.empty())
      replica.OnLogDurable(write.first_index + write.entries.size() - 1, write.entries.back().term);
  }

  // Unsynced writes are lost. The cases in which some of them are durable are covered by other event orders.
  void Restart(const State& state, std::size_t i) {
    State next = state;
    --next.remaining.restarts;
    next.machines[i].writes.clear();
    StartMachine(next, i);
    Visit(std::move(next));
  }

  void LoseDisk(const State& state, std::size_t i) {
    State next = state;
    --next.remaining.lost_disks;
    next.lost_replica = next.machines[i].disk_id;
    next.machines[i] = {};
    next.machines[i].disk_id = "n" + std::to_string(i);
    StartMachine(next, i);
    Visit(std::move(next));
  }

  void StartMachine(State& state, std::size_t i) {
    Machine& machine = state.machines[i];
    const bool is_bootstrap = machine.disk_id == BootstrapId(i);
    machine.replica = std::make_shared<const Replica>(
        machine.disk_id, is_bootstrap ? bootstrap_members_ : Members{}, machine.disk, timing_, 1, kNow);
    machine.hash = HashOf(machine);
  }

  template <class Event>
  void Transition(const State& state, std::size_t i, Event apply_event) {
    State next = state;
    auto replica = std::make_shared<Replica>(*state.machines[i].replica);
    apply_event(next, *replica);
    ApplyEffects(next, i, *replica);
    const bool no_process_stops = next.remaining.restarts == 0 && next.remaining.lost_disks == 0;
    while (no_process_stops && !next.machines[i].writes.empty()) {
      ApplyWrite(next, i, *replica);
      ApplyEffects(next, i, *replica);
    }
    next.machines[i].replica = std::move(replica);
    next.machines[i].hash = HashOf(next.machines[i]);
    CheckLeader(next, i);
    Visit(std::move(next));
  }

  void ApplyEffects(State& state, std::size_t i, Replica& replica) {
    Machine& machine = state.machines[i];
    while (true) {
      Effects effects = replica.TakeEffects();
      for (const Message& message : effects.messages) Send(state, message);
      for (const auto& [index, entry] : effects.committed) RecordCommit(state, index, entry);
      const bool writes = effects.WritesAnything();
      if (!writes && machine.writes.empty()) {
        for (const Message& message : effects.messages_after_write) Send(state, message);
        return;
      }
      if (!writes && effects.messages_after_write.empty()) return;
      effects.messages.clear();
      effects.committed.clear();
      machine.writes.push_back(std::move(effects));
    }
  }

  void Send(State& state, const Message& message) {
    const bool heartbeat = message.kind == MessageKind::kHeartbeat && !message.succession_rank;
    if (heartbeat || message.kind == MessageKind::kHeartbeatReply) return;
    const std::string text = Encode(message);
    state.network[{message.from, message.to, message.kind}] = {message,
                                                               XXH3_64bits(text.data(), text.size())};
  }

  // ---- Invariants ----

  void RecordCommit(State& state, Index index, const Entry& entry) {
    const std::pair<Term, std::string> committed{entry.term, Encode(entry)};
    const auto [it, inserted] = state.committed.emplace(index, committed);
    if (!inserted && it->second != committed)
      violations_.push_back("two entries at " + std::to_string(index) + ": " + it->second.second + " and " +
                            committed.second);
    max_committed_ = std::max(max_committed_, state.committed.size());
  }

  // Election safety and leader completeness (Ongaro 2014, 3.2).
  void CheckLeader(State& state, std::size_t i) {
    const Replica& replica = *state.machines[i].replica;
    if (!replica.leader()) return;
    const auto [it, inserted] = state.leaders.emplace(replica.term(), replica.id());
    if (!inserted && it->second != replica.id())
      violations_.push_back("two leaders in term " + std::to_string(replica.term()));
    max_leaders_ = std::max(max_leaders_, static_cast<int>(state.leaders.size()));
    for (const auto& [index, entry] : state.committed)
      if (entry.first < replica.term() && replica.TermAt(index) != entry.first)
        violations_.push_back("the leader of term " + std::to_string(replica.term()) + " lacks entry " +
                              std::to_string(index));
  }

  // ---- States ----

  static std::uint64_t HashOf(const Machine& machine) {
    std::string text = machine.replica->Fingerprint() + "|" + std::to_string(machine.disk.hard_state.term) +
                       machine.disk.hard_state.vote;
    for (const Entry& entry : machine.disk.entries) text += Encode(entry);
    for (const Effects& write : machine.writes) {
      text += "w" + std::to_string(write.first_index) + (write.hard_state ? write.hard_state->vote : "");
      for (const Entry& entry : write.entries) text += Encode(entry);
      for (const Message& message : write.messages_after_write) text += Encode(message);
    }
    return XXH3_64bits(text.data(), text.size());
  }

  static std::uint64_t HashOf(const State& state) {
    std::vector<std::uint64_t> values;
    for (const Machine& machine : state.machines) values.push_back(machine.hash);
    for (const auto& [link, sent] : state.network) values.push_back(sent.hash);
    const Bounds& remaining = state.remaining;
    for (const int count : {remaining.proposals, remaining.elections, remaining.restarts,
                            remaining.lost_disks, remaining.leader_ticks, remaining.resignations})
      values.push_back(static_cast<std::uint64_t>(count));
    for (const auto& [index, entry] : state.committed) {
      values.push_back(index);
      values.push_back(entry.first);
    }
    return XXH3_64bits(values.data(), values.size() * sizeof values[0]);
  }

  void Visit(State state) {
    if (visited_.insert(HashOf(state)).second) frontier_.push_back(std::move(state));
  }

  const Bounds bounds_;
  Timing timing_;
  Members bootstrap_members_;
  std::vector<State> frontier_;
  std::unordered_set<std::uint64_t> visited_;
  std::size_t max_committed_ = 0;
  int max_leaders_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace violetwing::consensus

#endif  // VIOLETWING_TESTS_TESTING_EXPLORATION_HPP_
