#include "control/replication/replicated_state_machine.hpp"

#include <spdlog/spdlog.h>

#include <optional>
#include <utility>

#include "control/control_error.hpp"
#include "control/replication/commands.hpp"

namespace violetwing {
namespace {

// A snapshot is taken when any of the following three limits is exceeded.
// Log entries after the last snapshot.
constexpr std::size_t kMaxEntriesSinceSnapshot = 128;
// Bytes read and written by applied commands. It bounds the replay at startup, during which a process
// exchanges no messages and can neither lead nor answer: about 50 ms of a control process's CPU share at 17
// MB/s (a patch of 189 kB takes 11 ms).
constexpr std::size_t kMaxProcessedBytesSinceSnapshot = std::size_t{512} * 1024;
// Bytes of commands, including those that change nothing. It bounds the size of the log on disk.
constexpr std::size_t kMaxLogBytesSinceSnapshot = std::size_t{2} * 1024 * 1024;
// A command that is not applied within 500 ms is sent again, as the leader or the network path may have
// failed.
constexpr Micros kResendInterval = 500'000;

bool IsEmpty(const consensus::Effects& effects) {
  return !effects.WritesAnything() && effects.messages.empty() && effects.messages_after_write.empty() &&
         !effects.snapshot_to_load && effects.committed.empty();
}

}  // namespace

ReplicatedStateMachine::ReplicatedStateMachine(int shard, std::string incarnation, consensus::Replica replica,
                                               StateMachine& machine, Outputs outputs)
    : shard_(shard),
      incarnation_(std::move(incarnation)),
      replica_(std::move(replica)),
      machine_(machine),
      outputs_(std::move(outputs)) {}

// ---- Commands ----

void ReplicatedStateMachine::Submit(const std::string& command, Micros now, Micros timeout,
                                    SubmitCallback done) {
  const std::string request_id = incarnation_ + "/" + std::to_string(++submit_count_);
  SubmitIdempotent(request_id, command, now, {timeout, timeout}, std::move(done));
}

void ReplicatedStateMachine::SubmitIdempotent(const std::string& request_id, const std::string& command,
                                              Micros now, SubmitTimeouts timeouts, SubmitCallback done) {
  const auto [it, inserted] = pending_commands_.try_emplace(request_id);
  PendingCommand& pending = it->second;
  if (inserted) pending.command = Encode(Envelope{request_id, command});
  pending.submitters.push_back({now + timeouts.minimum, now + timeouts.with_quorum_contact, std::move(done)});
  SendToLeader(request_id, pending, now);
  Flush();
}

void ReplicatedStateMachine::OnForwardedProposal(const std::string& command) {
  const Result<Envelope> envelope = DecodeEnvelope(command);
  if (envelope) Propose(envelope.value().request_id, command);
  Flush();
}

void ReplicatedStateMachine::SendToLeader(const std::string& request_id, PendingCommand& pending,
                                          Micros now) {
  const bool new_term = pending.sent_term != replica_.term();
  if (pending.sent_at > 0 && !new_term && now - pending.sent_at < kResendInterval) return;
  if (replica_.leader()) {
    Propose(request_id, pending.command);
  } else if (replica_.known_leader() && !replica_.known_leader()->address.empty()) {
    outputs_.forward(shard_, *replica_.known_leader(), pending.command);
  } else {
    return;
  }
  pending.sent_at = now;
  pending.sent_term = replica_.term();
}

void ReplicatedStateMachine::Propose(const std::string& request_id, const std::string& command) {
  if (!replica_.leader()) return;
  // Entries of earlier terms may have been overwritten since.
  if (std::exchange(proposed_term_, replica_.term()) != replica_.term()) proposed_requests_.clear();
  if (proposed_requests_.insert(request_id).second) replica_.Propose(command);
}

void ReplicatedStateMachine::TakeExpired(PendingCommand& pending, Micros now,
                                         std::vector<SubmitCallback>& expired) const {
  const bool has_quorum_contact = replica_.HasQuorumContact(now);
  std::erase_if(pending.submitters, [&](Submitter& submitter) {
    const Micros deadline =
        has_quorum_contact ? submitter.quorum_contact_deadline : submitter.minimum_deadline;
    if (now < deadline) return false;
    expired.push_back(std::move(submitter.done));
    return true;
  });
}

// ---- Events ----

void ReplicatedStateMachine::OnMessage(const consensus::Message& message, Micros now) {
  replica_.Step(message, now);
  Flush();
}

void ReplicatedStateMachine::Resign(Micros now) {
  replica_.Resign(now);
  Flush();
}

void ReplicatedStateMachine::Tick(Micros now) {
  replica_.Tick(now);
  std::vector<SubmitCallback> expired;
  for (auto it = pending_commands_.begin(); it != pending_commands_.end();) {
    TakeExpired(it->second, now, expired);
    if (it->second.submitters.empty()) {
      it = pending_commands_.erase(it);
      continue;
    }
    SendToLeader(it->first, it->second, now);
    ++it;
  }
  Flush();
  for (const SubmitCallback& done : expired) done(ControlErrc::kCommitStatusUnknown);
}

void ReplicatedStateMachine::OnWriteDurable(std::uint64_t token) {
  const auto it = pending_writes_.find(token);
  if (it == pending_writes_.end()) return;
  const PendingWrite pending = std::move(it->second);
  pending_writes_.erase(it);
  Send(pending.messages);
  if (pending.last_index > 0) replica_.OnLogDurable(pending.last_index, pending.last_term);
  Flush();
}

// ---- Effects of the replica ----

void ReplicatedStateMachine::Flush() {
  if (failed_ || std::exchange(flushing_, true))
    return;  // reentrant call: a submitter's callback may submit another command
  bool applied = false;
  while (true) {
    consensus::Effects effects = replica_.TakeEffects();
    if (IsEmpty(effects)) break;
    // Load before storing: a snapshot that cannot be loaded must not replace a stored state that can.
    if (effects.snapshot_to_load && !LoadSnapshot(*effects.snapshot_to_load)) return;
    Persist(effects);
    Send(effects.messages);
    for (const auto& [index, entry] : effects.committed) Apply(entry);
    applied = applied || effects.snapshot_to_load || !effects.committed.empty();
    CompactIfDue();
  }
  flushing_ = false;
  LogLeadershipChange();
  if (applied) outputs_.applied(shard_);
}

bool ReplicatedStateMachine::LoadSnapshot(const consensus::Snapshot& snapshot) {
  const std::error_code error = machine_.Load(snapshot.state);
  if (!error) return true;
  spdlog::error("snapshot not loaded shard={} index={} error={}", shard_, snapshot.index, error.message());
  failed_ = true;
  outputs_.failed(shard_, error);
  return false;
}

void ReplicatedStateMachine::Persist(consensus::Effects& effects) {
  // Messages without a write of their own may depend on earlier writes, so they wait for those.
  const bool depends_on_pending_writes =
      !effects.messages_after_write.empty() && outputs_.has_pending_writes();
  if (!effects.WritesAnything() && !depends_on_pending_writes) {
    Send(effects.messages_after_write);
    return;
  }
  ShardWrite write{shard_,          effects.hard_state, effects.replaces_log, effects.first_index,
                   effects.entries, effects.snapshot};
  PendingWrite pending;
  if (effects.first_index > 0 && !effects.entries.empty()) {
    pending.last_index = effects.first_index + effects.entries.size() - 1;
    pending.last_term = effects.entries.back().term;
  }
  pending.messages = std::move(effects.messages_after_write);
  const std::uint64_t token = outputs_.next_write_token();
  pending_writes_.emplace(token, std::move(pending));
  outputs_.write(std::move(write), token);
}

void ReplicatedStateMachine::Send(const std::vector<consensus::Message>& messages) {
  for (const consensus::Message& message : messages) outputs_.send(shard_, message);
}

void ReplicatedStateMachine::Apply(const consensus::Entry& entry) {
  if (entry.kind != consensus::EntryKind::kCommand) return;
  log_bytes_since_snapshot_ += entry.command.size();
  const Result<Envelope> decoded = DecodeEnvelope(entry.command);
  if (!decoded) {
    spdlog::error("log entry without effect shard={} error={}", shard_, decoded.error().message());
    return;
  }
  const Envelope& envelope = decoded.value();
  const std::string answer = machine_.Apply(envelope.command);
  proposed_requests_.erase(envelope.request_id);
  const auto it = pending_commands_.find(envelope.request_id);
  if (it == pending_commands_.end()) return;
  // Erased before the callbacks run: a callback may submit the same request again.
  const std::vector<Submitter> submitters = std::move(it->second.submitters);
  pending_commands_.erase(it);
  for (const Submitter& submitter : submitters) submitter.done(answer);
}

void ReplicatedStateMachine::CompactIfDue() {
  if (!IsCompactionDue()) return;
  replica_.Compact(machine_.Save());
  processed_bytes_at_snapshot_ = machine_.processed_bytes();
  log_bytes_since_snapshot_ = 0;
}

bool ReplicatedStateMachine::IsCompactionDue() const {
  return replica_.entries_since_snapshot() > kMaxEntriesSinceSnapshot ||
         machine_.processed_bytes() - processed_bytes_at_snapshot_ > kMaxProcessedBytesSinceSnapshot ||
         log_bytes_since_snapshot_ > kMaxLogBytesSinceSnapshot;
}

void ReplicatedStateMachine::LogLeadershipChange() {
  if (logged_as_leader_ == replica_.leader()) return;
  logged_as_leader_ = replica_.leader();
  spdlog::info("{} shard={} term={}", logged_as_leader_ ? "leader elected" : "leadership lost", shard_,
               replica_.term());
}

}  // namespace violetwing
