// All that the replicas of one shard can come to, from their start, by events in every order: messages that
// arrive late, in any order or never, votes looked for at any time, writes that end at any time, processes
// that start again, a disk that is lost, a learner that takes its place. The replicas are the shipped ones.
//
// Time stands still and all spans are 0, so that every timer may fire at any moment and no lease ever holds
// back a vote: whatever real times allow is among the orders explored. Writes end at once where no machine
// can stop any more: what they let out may be late on its way as well. Left out: heartbeats (appends carry
// the commit index too), snapshots, and of two messages of one kind on one way the earlier once the later is
// sent.
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
#include "control/consensus/replica.hpp"
#include "messages/consensus.hpp"
#include "testing/virtual_disk.hpp"

namespace violetwing::consensus {

// How often each event may come that would otherwise come without end.
struct Bounds {
  int proposals = 0;
  int campaigns = 0;
  int restarts = 0;
  int lost_disks = 0;
  int leader_ticks = 0;  // sends again what was lost
  std::size_t states = 0;
};

class Exploration {
 public:
  static constexpr std::size_t kMachines = 3;
  static constexpr Micros kNow = 1'000'000;

  explicit Exploration(Bounds bounds) : bounds_(bounds) {
    timing_.heartbeat = timing_.election_least = timing_.election_most = 0;
    timing_.lease = timing_.settle = timing_.start_turn = timing_.start_for = 0;
    timing_.append_again = 0;
    for (std::size_t i = 0; i < kMachines; ++i) founders_.push_back({Founder(i), "m" + std::to_string(i)});
  }

  // Visits all states within the bounds, depth first; false if there were more than `bounds.states`.
  bool Run() {
    World first;
    first.left = bounds_;
    for (std::size_t i = 0; i < kMachines; ++i) {
      first.machines[i].disk_id = Founder(i);
      StartMachine(first, i);
    }
    Visit(std::move(first));
    while (!open_.empty()) {
      if (seen_.size() > bounds_.states) return false;
      const World world = std::move(open_.back());
      open_.pop_back();
      Expand(world);
    }
    return true;
  }

  std::size_t states() const { return seen_.size(); }
  std::size_t most_committed() const { return most_committed_; }
  int leaders() const { return most_leaders_; }
  const std::vector<std::string>& violations() const { return violations_; }
  // May change what a replica is given, to see whether the invariants notice.
  std::function<void(Message&)> tamper;

 private:
  struct Machine {
    std::string disk_id;
    std::shared_ptr<const Replica> replica;
    StoredState disk;
    std::deque<Effects> writes;
    std::uint64_t hash = 0;  // of all the above
  };
  struct Sent {
    Message message;
    std::uint64_t hash = 0;
  };
  using Way = std::tuple<ReplicaId, ReplicaId, MessageKind>;
  struct World {
    std::array<Machine, kMachines> machines;
    std::map<Way, Sent> network;
    Bounds left;
    std::map<Index, std::pair<Term, std::string>> committed;
    std::map<Term, ReplicaId> leaders;
    ReplicaId lost;  // the disk that is gone
  };

  static ReplicaId Founder(std::size_t i) { return "f" + std::to_string(i); }

  // ---- Events ----

  void Expand(const World& world) {
    for (const auto& [way, sent] : world.network) Arrive(world, way, sent.message);
    for (std::size_t i = 0; i < kMachines; ++i) {
      if (!world.machines[i].writes.empty()) FinishWrite(world, i);
      if (world.left.restarts > 0) Restart(world, i);
      if (world.left.lost_disks > 0) LoseDisk(world, i);
      if (world.machines[i].replica->leader())
        ExpandLeader(world, i);
      else if (world.left.campaigns > 0 && world.machines[i].replica->IsMember(world.machines[i].disk_id))
        Change(world, i, [](World& next, Replica& replica) {
          --next.left.campaigns;
          replica.Tick(kNow);
        });
    }
  }

  void ExpandLeader(const World& world, std::size_t i) {
    if (world.left.proposals > 0)
      Change(world, i, [](World& next, Replica& replica) {
        replica.Propose("c" + std::to_string(--next.left.proposals));
      });
    if (world.left.leader_ticks > 0)
      Change(world, i, [](World& next, Replica& replica) {
        --next.left.leader_ticks;
        replica.Tick(kNow);
      });
    if (world.lost.empty()) return;
    const Members members = world.machines[i].replica->members();
    if (world.machines[i].replica->IsMember(world.lost))
      Change(world, i, [&](World&, Replica& replica) {
        Members fewer = members;
        std::erase_if(fewer, [&](const Member& one) { return one.id == world.lost; });
        replica.ProposeMembers(fewer);
      });
    for (const Machine& machine : world.machines) {
      const Member joins{machine.disk_id, "m"};
      if (world.machines[i].replica->IsMember(joins.id)) continue;
      Change(world, i, [&](World&, Replica& replica) { replica.AddLearner(joins, kNow); });
      for (const Replica::Progress& one : world.machines[i].replica->Followers())
        if (one.member.id == joins.id && one.caught_up && members.size() < kMachines)
          Change(world, i, [&](World&, Replica& replica) {
            Members more = members;
            more.push_back(joins);
            replica.ProposeMembers(more);
          });
    }
  }

  void Arrive(const World& world, const Way& way, const Message& message) {
    for (std::size_t i = 0; i < kMachines; ++i) {
      if (world.machines[i].disk_id != message.to) continue;
      Change(world, i, [&](World& next, Replica& replica) {
        next.network.erase(way);
        Message arrived = message;
        if (tamper) tamper(arrived);
        replica.Step(arrived, kNow);
      });
    }
  }

  void FinishWrite(const World& world, std::size_t i) {
    Change(world, i, [&](World& next, Replica& replica) { Write(next, i, replica); });
  }

  void Write(World& world, std::size_t i, Replica& replica) {
    Machine& machine = world.machines[i];
    const Effects write = std::move(machine.writes.front());
    machine.writes.pop_front();
    testing::ApplyWrite(machine.disk,
                        {0, write.hard, write.replaces_log, write.first, write.entries, write.snapshot});
    for (const Message& message : write.messages_after_write) Send(world, message);
    if (!write.entries.empty())
      replica.Written(write.first + write.entries.size() - 1, write.entries.back().term);
  }

  // What was not written is gone; that a part of it was written is another order of events.
  void Restart(const World& world, std::size_t i) {
    World next = world;
    --next.left.restarts;
    next.machines[i].writes.clear();
    StartMachine(next, i);
    Visit(std::move(next));
  }

  void LoseDisk(const World& world, std::size_t i) {
    World next = world;
    --next.left.lost_disks;
    next.lost = next.machines[i].disk_id;
    next.machines[i] = {};
    next.machines[i].disk_id = "n" + std::to_string(i);
    StartMachine(next, i);
    Visit(std::move(next));
  }

  void StartMachine(World& world, std::size_t i) {
    Machine& machine = world.machines[i];
    const bool founder = machine.disk_id == Founder(i);
    machine.replica = std::make_shared<const Replica>(machine.disk_id, founder ? founders_ : Members{},
                                                      machine.disk, timing_, 1, kNow);
    machine.hash = HashOf(machine);
  }

  template <class Act>
  void Change(const World& world, std::size_t i, Act act) {
    World next = world;
    auto replica = std::make_shared<Replica>(*world.machines[i].replica);
    act(next, *replica);
    Carry(next, i, *replica);
    const bool none_stops = next.left.restarts == 0 && next.left.lost_disks == 0;
    while (none_stops && !next.machines[i].writes.empty()) {
      Write(next, i, *replica);
      Carry(next, i, *replica);
    }
    next.machines[i].replica = std::move(replica);
    next.machines[i].hash = HashOf(next.machines[i]);
    CheckLeader(next, i);
    Visit(std::move(next));
  }

  void Carry(World& world, std::size_t i, Replica& replica) {
    Machine& machine = world.machines[i];
    while (true) {
      Effects effects = replica.TakeEffects();
      for (const Message& message : effects.messages) Send(world, message);
      for (const auto& [index, entry] : effects.committed) Commit(world, index, entry);
      const bool writes = effects.WritesAnything();
      if (!writes && machine.writes.empty()) {
        for (const Message& message : effects.messages_after_write) Send(world, message);
        return;
      }
      if (!writes && effects.messages_after_write.empty()) return;
      effects.messages.clear();
      effects.committed.clear();
      machine.writes.push_back(std::move(effects));
    }
  }

  void Send(World& world, const Message& message) {
    if (message.kind == MessageKind::kHeartbeat || message.kind == MessageKind::kHeartbeatReply) return;
    const std::string text = Encode(message);
    world.network[{message.from, message.to, message.kind}] = {message,
                                                               XXH3_64bits(text.data(), text.size())};
  }

  // ---- Invariants ----

  void Commit(World& world, Index index, const Entry& entry) {
    const std::pair<Term, std::string> told{entry.term, Encode(entry)};
    const auto [it, fresh] = world.committed.emplace(index, told);
    if (!fresh && it->second != told)
      violations_.push_back("two entries at " + std::to_string(index) + ": " + it->second.second + " and " +
                            told.second);
    most_committed_ = std::max(most_committed_, world.committed.size());
  }

  // One leader a term, and none without all that was committed in terms before.
  void CheckLeader(World& world, std::size_t i) {
    const Replica& replica = *world.machines[i].replica;
    if (!replica.leader()) return;
    const auto [it, fresh] = world.leaders.emplace(replica.term(), replica.id());
    if (!fresh && it->second != replica.id())
      violations_.push_back("two leaders in term " + std::to_string(replica.term()));
    most_leaders_ = std::max(most_leaders_, static_cast<int>(world.leaders.size()));
    for (const auto& [index, entry] : world.committed)
      if (entry.first < replica.term() && replica.TermAt(index) != entry.first)
        violations_.push_back("the leader of term " + std::to_string(replica.term()) + " lacks entry " +
                              std::to_string(index));
  }

  // ---- States ----

  static std::uint64_t HashOf(const Machine& machine) {
    std::string text = machine.replica->Fingerprint() + "|" + std::to_string(machine.disk.hard.term) +
                       machine.disk.hard.vote;
    for (const Entry& entry : machine.disk.entries) text += Encode(entry);
    for (const Effects& write : machine.writes) {
      text += "w" + std::to_string(write.first) + (write.hard ? write.hard->vote : "");
      for (const Entry& entry : write.entries) text += Encode(entry);
      for (const Message& message : write.messages_after_write) text += Encode(message);
    }
    return XXH3_64bits(text.data(), text.size());
  }

  static std::uint64_t HashOf(const World& world) {
    std::vector<std::uint64_t> all;
    for (const Machine& machine : world.machines) all.push_back(machine.hash);
    for (const auto& [way, sent] : world.network) all.push_back(sent.hash);
    const Bounds& left = world.left;
    for (const int one : {left.proposals, left.campaigns, left.restarts, left.lost_disks, left.leader_ticks})
      all.push_back(static_cast<std::uint64_t>(one));
    for (const auto& [index, entry] : world.committed) {
      all.push_back(index);
      all.push_back(entry.first);
    }
    return XXH3_64bits(all.data(), all.size() * sizeof all[0]);
  }

  void Visit(World world) {
    if (seen_.insert(HashOf(world)).second) open_.push_back(std::move(world));
  }

  const Bounds bounds_;
  Timing timing_;
  Members founders_;
  std::vector<World> open_;
  std::unordered_set<std::uint64_t> seen_;
  std::size_t most_committed_ = 0;
  int most_leaders_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace violetwing::consensus

#endif  // VIOLETWING_TESTS_TESTING_EXPLORATION_HPP_
