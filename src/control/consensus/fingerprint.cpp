// The state of a replica as text, for tests that explore all states: two replicas with the same text behave
// alike, times aside.
#include <string>

#include "control/consensus/replica.hpp"

namespace violetwing::consensus {
namespace {

// Concatenates fields, each followed by a space.
class Text {
 public:
  Text& operator<<(std::uint64_t number) {
    text_ += std::to_string(number);
    text_ += ' ';
    return *this;
  }
  Text& operator<<(const std::string& word) {
    text_ += word;
    text_ += ' ';
    return *this;
  }
  Text& operator<<(const Members& members) {
    for (const Member& member : members) *this << member.id;
    return *this << std::string(";");
  }
  Text& operator<<(const std::set<ReplicaId>& ids) {
    for (const ReplicaId& id : ids) *this << id;
    return *this << std::string(";");
  }
  std::string Take() { return std::move(text_); }

 private:
  std::string text_;
};

}  // namespace

std::string Replica::Fingerprint() const {
  Text text;
  text << id_ << hard_.term << hard_.vote << snapshot_.index << snapshot_.term << snapshot_.members
       << snapshot_.state << log_.base();
  for (const Entry& entry : log_.entries())
    text << entry.term << static_cast<std::uint64_t>(entry.kind) << entry.command << entry.members;
  text << commit_ << applied_ << durable_index_ << static_cast<std::uint64_t>(role_)
       << std::uint64_t{seen_leader_} << resigned_term_
       << (known_leader_ ? known_leader_->id : std::string("-"));
  text << votes_granted_ << leaderless_voters_ << draining_;
  for (const auto& [id, follower] : followers_) {
    text << id << follower.next_index << follower.match_index << std::uint64_t{follower.append_sent_at > 0};
    if (follower.snapshot) text << follower.snapshot->index << follower.snapshot_offset;
  }
  for (const auto& [id, learner] : learners_) text << id;
  if (incoming_snapshot_)
    text << incoming_snapshot_->from << incoming_snapshot_->index << incoming_snapshot_->state;
  return text.Take();
}

}  // namespace violetwing::consensus
