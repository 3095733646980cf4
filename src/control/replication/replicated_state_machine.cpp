#include "control/replication/replicated_state_machine.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "control/replication/commands.hpp"

namespace violetwing {
namespace {

using consensus::EntryKind;

// Entries after the snapshot from which a new one is taken.
constexpr std::size_t kCompactAfter = 128;
// And bytes of work: a process that starts applies the entries again before it can lead or answer, with no
// word to the others meanwhile. Some 50 ms of a control process's share at 17 MB a second (a patch of 189 kB:
// 11 ms).
constexpr std::size_t kCompactAfterBytes = std::size_t{512} * 1024;
// And bytes of commands, also of those that changed nothing: what the disk holds of the log.
constexpr std::size_t kCompactAfterLogged = std::size_t{2} * 1024 * 1024;
// A command that was not applied by then is offered again: the leader or the way to it may be gone.
constexpr Micros kOfferAgain = 500'000;

}  // namespace

ReplicatedStateMachine::ReplicatedStateMachine(int shard, std::string incarnation, consensus::Replica replica,
                                               StateMachine& machine, Outputs outputs)
    : shard_(shard),
      incarnation_(std::move(incarnation)),
      replica_(std::move(replica)),
      machine_(machine),
      outputs_(std::move(outputs)) {}

void ReplicatedStateMachine::Step(const consensus::Message& message, Micros now) {
  replica_.Step(message, now);
  Flush();
}

void ReplicatedStateMachine::Tick(Micros now) {
  replica_.Tick(now);
  std::vector<Done> late;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    TakeLate(it->second, now, late);
    if (it->second.callers.empty()) {
      it = waiting_.erase(it);
      continue;
    }
    Offer(it->first, it->second, now);
    ++it;
  }
  Flush();
  for (const Done& done : late) done(std::nullopt);
}

void ReplicatedStateMachine::TakeLate(Waiting& waiting, Micros now, std::vector<Done>& late) const {
  const bool has_quorum_contact = replica_.HasQuorumContact(now);
  std::erase_if(waiting.callers, [&](Caller& caller) {
    if (now < (has_quorum_contact ? caller.until : caller.least_until)) return false;
    late.push_back(std::move(caller.done));
    return true;
  });
}

void ReplicatedStateMachine::TakeForwarded(const std::string& command) {
  const std::optional<Envelope> envelope = DecodeEnvelope(command);
  if (envelope) Propose(envelope->request, command);
  Flush();
}

void ReplicatedStateMachine::Propose(const std::string& request, const std::string& command) {
  if (!replica_.leader()) return;
  if (std::exchange(proposed_in_, replica_.term()) != replica_.term()) proposed_.clear();
  if (proposed_.insert(request).second) replica_.Propose(command);
}

void ReplicatedStateMachine::Call(const std::string& command, Micros now, Micros within, Done done) {
  SubmitIdempotent(incarnation_ + "/" + std::to_string(++calls_), command, now, {within, within},
                   std::move(done));
}

void ReplicatedStateMachine::SubmitIdempotent(const std::string& name, const std::string& command, Micros now,
                                              SubmitTimeouts timeouts, Done done) {
  const auto [it, fresh] = waiting_.try_emplace(name);
  Waiting& waiting = it->second;
  if (fresh) waiting.command = Encode(Envelope{name, command});
  waiting.callers.push_back({now + timeouts.least, now + timeouts.has_quorum_contact, std::move(done)});
  Offer(name, waiting, now);
  Flush();
}

void ReplicatedStateMachine::Offer(const std::string& request, Waiting& waiting, Micros now) {
  const bool new_term = waiting.sent_in != replica_.term();
  if (waiting.sent_at > 0 && !new_term && now - waiting.sent_at < kOfferAgain) return;
  if (replica_.leader()) {
    Propose(request, waiting.command);
  } else if (replica_.known_leader() && !replica_.known_leader()->address.empty()) {
    outputs_.forward(shard_, *replica_.known_leader(), waiting.command);
  } else {
    return;
  }
  waiting.sent_at = now;
  waiting.sent_in = replica_.term();
}

void ReplicatedStateMachine::Send(const std::vector<consensus::Message>& messages) {
  for (const consensus::Message& message : messages) outputs_.send(shard_, message);
}

void ReplicatedStateMachine::Apply(const consensus::Entry& entry) {
  if (entry.kind != EntryKind::kCommand) return;
  logged_since_snapshot_ += entry.command.size();
  const std::optional<Envelope> envelope = DecodeEnvelope(entry.command);
  if (!envelope) return;
  const std::string result = machine_.Apply(envelope->command);
  proposed_.erase(envelope->request);
  const auto it = waiting_.find(envelope->request);
  if (it == waiting_.end()) return;
  const std::vector<Caller> callers = std::move(it->second.callers);
  waiting_.erase(it);
  for (const Caller& caller : callers) caller.done(result);
}

void ReplicatedStateMachine::Flush() {
  if (std::exchange(flushing_, true)) return;  // a caller's answer may lead to the next call
  bool applied = false;
  while (true) {
    consensus::Effects effects = replica_.TakeEffects();
    const bool nothing = !effects.WritesAnything() && effects.messages.empty() &&
                         effects.messages_after_write.empty() && !effects.load && effects.committed.empty();
    if (nothing) break;
    if (effects.WritesAnything() || (!effects.messages_after_write.empty() && outputs_.writes_wait())) {
      ShardWrite write{shard_,        effects.hard,    effects.replaces_log,
                       effects.first, effects.entries, effects.snapshot};
      Unwritten unwritten;
      if (effects.first > 0 && !effects.entries.empty()) {
        unwritten.last = effects.first + effects.entries.size() - 1;
        unwritten.term = effects.entries.back().term;
      }
      unwritten.messages = std::move(effects.messages_after_write);
      const std::uint64_t token = outputs_.next_token();
      unwritten_.emplace(token, std::move(unwritten));
      outputs_.write(std::move(write), token);
    } else {
      Send(effects.messages_after_write);
    }
    Send(effects.messages);
    if (effects.load) machine_.Load(effects.load->state);
    for (const auto& [index, entry] : effects.committed) Apply(entry);
    applied = applied || effects.load || !effects.committed.empty();
    if (CompactionDue()) {
      replica_.Compact(machine_.Save());
      worked_at_snapshot_ = machine_.worked();
      logged_since_snapshot_ = 0;
    }
  }
  flushing_ = false;
  LogLeadership();
  if (applied) outputs_.applied(shard_);
}

bool ReplicatedStateMachine::CompactionDue() const {
  return replica_.entries_since_snapshot() > kCompactAfter ||
         machine_.worked() - worked_at_snapshot_ > kCompactAfterBytes ||
         logged_since_snapshot_ > kCompactAfterLogged;
}

void ReplicatedStateMachine::LogLeadership() {
  if (led_ == replica_.leader()) return;
  led_ = replica_.leader();
  spdlog::info("shard {}: this process {} in term {}", shard_, led_ ? "leads" : "leads no more",
               replica_.term());
}

bool ReplicatedStateMachine::Written(std::uint64_t token) {
  const auto it = unwritten_.find(token);
  if (it == unwritten_.end()) return false;
  const Unwritten unwritten = std::move(it->second);
  unwritten_.erase(it);
  Send(unwritten.messages);
  if (unwritten.last > 0) replica_.OnLogDurable(unwritten.last, unwritten.term);
  Flush();
  return true;
}

}  // namespace violetwing
