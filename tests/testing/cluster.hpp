// A deterministic simulation of one replicated log: replicas on a virtual clock, a network that delays,
// drops, duplicates and blocks messages, and disks that lose unsynced writes or all data.
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
#include "testing/database_disk.hpp"
#include "testing/virtual_disk.hpp"

namespace violetwing::consensus {

/// Machines with one replica each. Violations of the safety properties (one leader per term, one lease at a
/// time, one entry per index) are collected in violations(). All times are microseconds of the virtual clock.
class Cluster {
 public:
  static constexpr Micros kTimeStep = 10'000;
  static constexpr Micros kMembershipReviewInterval = 50'000;

  /// A machine with its disk and process; `replica` is null while the process is down.
  struct Machine {
    std::string address;
    std::string disk_id;
    StoredState disk;                    // state that survives a power failure
    std::deque<Effects> writes;          // queued and not yet durable
    std::size_t writes_in_progress = 0;  // number of `writes` that the sync in progress covers
    Micros write_done_at = 0;            // end of the sync in progress
    std::unique_ptr<Replica> replica;
    Micros frozen_until = 0;  // the process is paused until then
    Micros disk_stalled_until = 0;
    Micros max_write_duration = 20'000;               // exclusive upper bound of a sync's duration
    std::vector<std::string> applied;                 // commands in the state of the state machine
    bool removed = false;                             // no longer asks to join
    bool draining = false;                            // has announced its shutdown
    bool database_is_open = false;                    // newly created and not yet read
    std::unique_ptr<testing::DatabaseDisk> database;  // same content as `disk`; null for Disks::kModel
  };
  /// The implementation of the machines' disks.
  enum class Disks {
    kModel,     ///< a StoredState; a prefix of the unsynced writes survives a power failure
    kDatabase,  ///< the production database, on a disk with power failures at any operation and read errors
  };

  /// Starts `machines` machines. The first `bootstrap_count` form the group; the others are spares.
  Cluster(std::size_t machines, std::size_t bootstrap_count, std::uint64_t seed, Disks disks = Disks::kModel)
      : disks_(disks), seed_(seed), random_(seed) {
    for (std::size_t i = 0; i < machines; ++i) {
      Machine machine;
      machine.address = "m" + std::to_string(i);
      machine.disk_id = i < bootstrap_count ? "founder/" + machine.address : NewDiskId();
      if (disks_ == Disks::kDatabase) NewDatabase(machine);
      machines_.push_back(std::move(machine));
      if (i < bootstrap_count)
        bootstrap_members_.push_back({"founder/m" + std::to_string(i), "m" + std::to_string(i)});
    }
    for (std::size_t i = 0; i < machines; ++i) Start(i);
  }

  Micros now() const { return now_; }
  Machine& machine(std::size_t i) { return machines_[i]; }
  std::size_t size() const { return machines_.size(); }
  Random& random() { return random_; }
  /// Descriptions of violated safety properties.
  const std::vector<std::string>& violations() const { return violations_; }
  /// Commands that at least one machine has applied.
  const std::set<std::string>& acknowledged() const { return acknowledged_; }

  // ---- Faults ----

  /// Starts the process of machine `i` from its disk. If the disk cannot be read, the process stays down.
  void Start(std::size_t i) {
    Machine& machine = machines_[i];
    if (machine.database != nullptr && !ReadDatabase(machine)) return;
    const bool is_bootstrap = machine.disk_id.rfind("founder/", 0) == 0;
    machine.applied.clear();
    machine.replica =
        std::make_unique<Replica>(machine.disk_id, is_bootstrap ? bootstrap_members_ : Members{},
                                  machine.disk, Timing{}, random_.Next(), now_);
    ApplyEffects(i);
  }
  bool IsRunning(std::size_t i) const { return machines_[i].replica != nullptr; }
  /// Ends the process. Writes in progress end with it: none completes after the next process has started.
  void Kill(std::size_t i) { PowerOff(i); }
  /// Ends the process. A prefix of the unsynced writes may have reached the disk.
  void PowerOff(std::size_t i) {
    Machine& machine = machines_[i];
    machine.replica.reset();
    std::size_t surviving = random_.Below(machine.writes.size() + 1);
    if (machine.database != nullptr) {
      std::vector<ShardWrite> in_progress;
      for (std::size_t write = 0; write < machine.writes_in_progress; ++write)
        in_progress.push_back(WriteOf(machine.writes[write]));
      machine.database->LosePower(in_progress);
      machine.database_is_open = false;
      surviving = 0;
    }
    for (const Effects& write : machine.writes)
      if (surviving-- > 0)
        ApplyToDisk(machine, write);
      else
        break;
    machine.writes.clear();
    machine.writes_in_progress = 0;
  }
  /// Ends the process and gives the machine an empty disk with a new id.
  void LoseDisk(std::size_t i) {
    Machine& machine = machines_[i];
    machine.replica.reset();
    machine.writes.clear();
    machine.writes_in_progress = 0;
    machine.disk = {};
    machine.disk_id = NewDiskId();
    if (disks_ == Disks::kDatabase) NewDatabase(machine);
  }
  /// The process announces its shutdown and resigns, as after a termination signal. It runs until PowerOff.
  void BeginShutdown(std::size_t i) {
    machines_[i].draining = true;
    Resign(i);
  }
  /// Machine `i` gives up leadership if it is the leader.
  void Resign(std::size_t i) {
    if (!IsRunning(i) || machines_[i].frozen_until > now_) return;
    machines_[i].replica->Resign(now_);
    ApplyEffects(i);
  }
  /// Pauses the process for `duration`. Messages to it are delivered afterwards.
  void Freeze(std::size_t i, Micros duration) { machines_[i].frozen_until = now_ + duration; }
  /// No write completes for `duration`.
  void StallDisk(std::size_t i, Micros duration) { machines_[i].disk_stalled_until = now_ + duration; }
  /// Drops messages in this direction until Heal().
  void Cut(std::size_t from, std::size_t to) { blocked_links_.insert({from, to}); }
  void Heal() { blocked_links_.clear(); }

  // ---- Parameters ----

  double drop_probability = 0;
  double duplicate_probability = 0;
  Micros max_delay = 3'000;
  Micros time_step = kTimeStep;           // messages and writes take effect at the end of a step
  Micros tick_interval = kTimeStep;       // in phase on all machines
  std::size_t compaction_threshold = 24;  // entries since the snapshot
  Micros catch_up_time = 4'000'000;       // a machine still counts as failed for this long after its start
  /// Called for each message sent. May modify the message, or drop it by returning false.
  std::function<bool(Message&)> mutate;
  /// Called with the writes of each sync of a machine's disk.
  std::function<void(std::size_t machine, const std::vector<ShardWrite>&)> on_commit;

  // ---- Operation ----

  /// The running machine that is a ready leader with a lease; that of the highest term if there are several.
  std::optional<std::size_t> Leader() const {
    std::optional<std::size_t> found;
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      const auto& replica = machines_[i].replica;
      if (replica != nullptr && replica->Ready() && replica->HasLease(now_) &&
          machines_[i].frozen_until <= now_ &&
          (!found || replica->term() > machines_[*found].replica->term()))
        found = i;
    }
    return found;
  }
  /// Proposes to machine `i`. Returns false if it is not the leader. The command counts as acknowledged once
  /// any machine has applied it.
  bool Propose(std::size_t i, const std::string& command) {
    Machine& machine = machines_[i];
    if (machine.replica == nullptr || !IsAppended(machine.replica->Propose(command))) return false;
    ApplyEffects(i);
    return true;
  }

  /// Advances the virtual clock by `duration` in steps of `time_step`.
  void Run(Micros duration) {
    const Micros until = now_ + duration;
    while (now_ < until) {
      now_ += time_step;
      for (std::size_t i = 0; i < machines_.size(); ++i) {
        if (!IsRunning(i) || machines_[i].frozen_until > now_) continue;
        FinishWrites(i);
        Replica& replica = *machines_[i].replica;
        const bool election_is_due = replica.NextElectionAt().value_or(now_ + 1) <= now_;
        if (now_ % tick_interval == 0 || election_is_due) replica.Tick(now_);
        ApplyEffects(i);
      }
      Deliver();
      if (now_ % kMembershipReviewInterval == 0) ReviewMembers();
      CheckLeaders();
    }
  }

  /// Whether the state of machine `i` contains every acknowledged command.
  bool HasAllAcknowledged(std::size_t i) const {
    const std::set<std::string> applied(machines_[i].applied.begin(), machines_[i].applied.end());
    return std::includes(applied.begin(), applied.end(), acknowledged_.begin(), acknowledged_.end());
  }

  /// Whether there is a leader whose group has its full number of voters, none of which lost its disk.
  bool HasFullMembership() const {
    const auto leader = Leader();
    if (!leader) return false;
    const Members& members = machines_[*leader].replica->members();
    return members.size() == bootstrap_members_.size() &&
           std::all_of(members.begin(), members.end(), [&](const Member& member) {
             return std::any_of(machines_.begin(), machines_.end(),
                                [&](const Machine& machine) { return machine.disk_id == member.id; });
           });
  }

  /// One line per machine, for failure messages of tests and for digests.
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
  struct InFlightMessage {
    Micros arrives_at = 0;
    std::size_t from = 0;
    std::size_t to = 0;
    Message content;
  };

  std::string NewDiskId() { return "disk/" + std::to_string(++disks_created_); }

  void NewDatabase(Machine& machine) {
    machine.database.reset();
    machine.database = std::make_unique<testing::DatabaseDisk>("/" + machine.address, machine.disk_id, seed_);
    machine.database_is_open = true;
  }

  // Returns false if the disk fails to read.
  bool ReadDatabase(Machine& machine) {
    if (!std::exchange(machine.database_is_open, false)) {
      const auto stored = machine.database->Reopen();
      if (!stored) return false;
      machine.disk = *stored;
    }
    return true;
  }

  static ShardWrite WriteOf(const Effects& effects) {
    return {
        0, effects.hard_state, effects.replaces_log, effects.first_index, effects.entries, effects.snapshot};
  }
  static void ApplyToDisk(Machine& machine, const Effects& effects) {
    testing::ApplyWrite(machine.disk, WriteOf(effects));
  }

  void ApplyEffects(std::size_t i) {
    Machine& machine = machines_[i];
    while (true) {
      Effects effects = machine.replica->TakeEffects();
      if (effects.Empty()) return;
      for (const Message& message : effects.messages) Send(i, message);
      if (effects.snapshot_to_load)
        machine.applied =
            nlohmann::json::parse(effects.snapshot_to_load->state).get<std::vector<std::string>>();
      for (const auto& [index, entry] : effects.committed) ApplyEntry(machine, index, entry);
      if (effects.WritesAnything() || !machine.writes.empty()) {
        machine.writes.push_back(std::move(effects));
        StartWrites(machine);
      } else {
        for (const Message& message : effects.messages_after_write) Send(i, message);
      }
      if (machine.replica->entries_since_snapshot() > compaction_threshold)
        machine.replica->Compact(nlohmann::json(machine.applied).dump());
    }
  }

  // Group commit, as in the store: all queued writes are written with one sync once the disk is idle.
  void StartWrites(Machine& machine) {
    if (machine.writes_in_progress > 0 || machine.writes.empty()) return;
    machine.writes_in_progress = machine.writes.size();
    machine.write_done_at =
        now_ + static_cast<Micros>(random_.Below(static_cast<std::uint64_t>(machine.max_write_duration)));
  }

  void FinishWrites(std::size_t i) {
    Machine& machine = machines_[i];
    if (machine.writes_in_progress == 0 || machine.write_done_at > now_ || machine.disk_stalled_until > now_)
      return;
    const auto last = machine.writes.begin() + static_cast<std::ptrdiff_t>(machine.writes_in_progress);
    const std::vector<Effects> completed(std::make_move_iterator(machine.writes.begin()),
                                         std::make_move_iterator(last));
    machine.writes.erase(machine.writes.begin(), last);
    machine.writes_in_progress = 0;
    std::vector<ShardWrite> writes;
    for (const Effects& write : completed) writes.push_back(WriteOf(write));
    if (on_commit) on_commit(i, writes);
    if (machine.database != nullptr) machine.database->Commit(writes);
    for (const Effects& write : completed) {
      ApplyToDisk(machine, write);
      for (const Message& message : write.messages_after_write) Send(i, message);
      if (!write.entries.empty())
        machine.replica->OnLogDurable(write.first_index + write.entries.size() - 1,
                                      write.entries.back().term);
    }
    StartWrites(machine);
    ApplyEffects(i);
  }

  void ApplyEntry(Machine& machine, Index index, const Entry& entry) {
    const std::string text = std::to_string(entry.term) + "/" + entry.command;
    const auto [it, inserted] = committed_.emplace(index, text);
    if (!inserted && it->second != text)
      violations_.push_back("two entries at " + std::to_string(index) + ": " + it->second + " and " + text);
    if (entry.kind != EntryKind::kCommand) return;
    machine.applied.push_back(entry.command);
    acknowledged_.insert(entry.command);
  }

  void Send(std::size_t from, const Message& message) {
    std::size_t to = machines_.size();
    for (std::size_t i = 0; i < machines_.size(); ++i)
      if (machines_[i].disk_id == message.to) to = i;
    if (to == machines_.size() || random_.Uniform() < drop_probability) return;
    const int copies = random_.Uniform() < duplicate_probability ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      Message sent = message;
      if (mutate && !mutate(sent)) continue;
      const Micros at = now_ + 1 + static_cast<Micros>(random_.Below(static_cast<std::uint64_t>(max_delay)));
      in_flight_.push_back({at, from, to, std::move(sent)});
    }
  }

  void Deliver() {
    std::vector<InFlightMessage> due;
    std::vector<InFlightMessage> later;
    for (InFlightMessage& message : in_flight_)
      (message.arrives_at <= now_ ? due : later).push_back(std::move(message));
    in_flight_ = std::move(later);
    std::stable_sort(due.begin(), due.end(), [](const InFlightMessage& a, const InFlightMessage& b) {
      return a.arrives_at < b.arrives_at;
    });
    for (const InFlightMessage& message : due) {
      if (blocked_links_.count({message.from, message.to}) > 0 || !IsRunning(message.to)) continue;
      if (machines_[message.to].frozen_until > now_) {
        in_flight_.push_back(message);
        in_flight_.back().arrives_at = machines_[message.to].frozen_until;
        continue;
      }
      machines_[message.to].replica->Step(message.content, now_);
      ApplyEffects(message.to);
    }
  }

  // As the control processes do: machines that need to join ask the leader to add them as learners, and the
  // leader applies the membership policy.
  void ReviewMembers() {
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      if (!IsRunning(i) || !machines_[i].replica->leader() || machines_[i].frozen_until > now_) continue;
      for (std::size_t j = 0; j < machines_.size(); ++j)
        if (IsRunning(j) && !machines_[j].removed && machines_[j].frozen_until <= now_ &&
            blocked_links_.count({j, i}) == 0 && machines_[j].replica->NeedsToJoin(now_))
          machines_[i].replica->AddLearner({machines_[j].disk_id, machines_[j].address}, now_);
      for (const Machine& other : machines_) machines_[i].replica->SetDraining(other.disk_id, other.draining);
      const MembershipPolicy policy = MakeMembershipPolicy(bootstrap_members_.size(), catch_up_time);
      if (const auto next = NextMembership(*machines_[i].replica, policy, now_))
        machines_[i].replica->ProposeMembers(*next);
      ApplyEffects(i);
    }
  }

  void CheckLeaders() {
    for (const Machine& machine : machines_) {
      if (machine.replica == nullptr || !machine.replica->leader()) continue;
      const auto [it, inserted] = leader_of_term_.emplace(machine.replica->term(), machine.disk_id);
      if (!inserted && it->second != machine.disk_id)
        violations_.push_back("two leaders in term " + std::to_string(machine.replica->term()));
    }
    int leases = 0;
    for (const Machine& machine : machines_)
      leases += machine.replica != nullptr && machine.frozen_until <= now_ && machine.replica->HasLease(now_);
    if (leases > 1) violations_.push_back("two leases at " + std::to_string(now_));
    for (const Machine& machine : machines_)
      if (machine.database != nullptr && !machine.database->violations().empty())
        violations_.push_back(machine.database->violations().front());
  }

  const Disks disks_;
  const std::uint64_t seed_;
  Micros now_ = 1'000'000;
  Random random_;
  int disks_created_ = 0;
  Members bootstrap_members_;
  std::vector<Machine> machines_;
  std::vector<InFlightMessage> in_flight_;
  std::set<std::pair<std::size_t, std::size_t>> blocked_links_;
  std::map<Index, std::string> committed_;
  std::set<std::string> acknowledged_;
  std::map<Term, std::string> leader_of_term_;
  std::vector<std::string> violations_;
};

}  // namespace violetwing::consensus

#endif  // VIOLETWING_TESTS_TESTING_CLUSTER_HPP_
