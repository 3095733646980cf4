// The state of a replica as text, for tests that explore the state space. Replicas with the same text behave
// identically, except for timing.
#include <string>

#include "control/consensus/replica.hpp"

namespace violetwing::consensus {
namespace {

// Concatenates fields, each followed by a space.
class FingerprintBuilder {
 public:
  FingerprintBuilder& operator<<(std::uint64_t number) {
    text_ += std::to_string(number);
    text_ += ' ';
    return *this;
  }
  FingerprintBuilder& operator<<(const std::string& field) {
    text_ += field;
    text_ += ' ';
    return *this;
  }
  FingerprintBuilder& operator<<(const Members& members) {
    for (const Member& member : members) *this << member.id;
    return *this << std::string(";");
  }
  FingerprintBuilder& operator<<(const std::set<ReplicaId>& ids) {
    for (const ReplicaId& id : ids) *this << id;
    return *this << std::string(";");
  }
  std::string Take() { return std::move(text_); }

 private:
  std::string text_;
};

}  // namespace

std::string Replica::Fingerprint() const {
  FingerprintBuilder fingerprint;
  fingerprint << id_ << hard_state_.term << hard_state_.vote << snapshot_.index << snapshot_.term
              << snapshot_.members << snapshot_.state << log_.base();
  for (const Entry& entry : log_.entries())
    fingerprint << entry.term << static_cast<std::uint64_t>(entry.kind) << entry.command << entry.members;
  fingerprint << commit_ << applied_ << durable_index_ << static_cast<std::uint64_t>(role_)
              << std::uint64_t{seen_leader_} << resigned_term_
              << (known_leader_ ? known_leader_->id : std::string("-"));
  fingerprint << votes_granted_ << leaderless_voters_ << draining_;
  for (const auto& [id, follower] : followers_) {
    fingerprint << id << follower.next_index << follower.match_index
                << std::uint64_t{follower.append_sent_at > 0};
    if (follower.snapshot) fingerprint << follower.snapshot->index << follower.snapshot_offset;
  }
  for (const auto& [id, learner] : learners_) fingerprint << id;
  if (incoming_snapshot_)
    fingerprint << incoming_snapshot_->from << incoming_snapshot_->index << incoming_snapshot_->state;
  return fingerprint.Take();
}

}  // namespace violetwing::consensus
