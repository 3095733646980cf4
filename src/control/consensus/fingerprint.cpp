// What decides a replica's next steps, as text: two replicas with the same text behave alike, times aside.
#include <string>

#include "control/consensus/replica.hpp"

namespace violetwing::consensus {
namespace {

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
       << snapshot_.state << base_;
  for (const Entry& entry : entries_)
    text << entry.term << static_cast<std::uint64_t>(entry.kind) << entry.command << entry.members;
  text << commit_ << applied_ << written_ << static_cast<std::uint64_t>(role_) << std::uint64_t{met_leader_}
       << (known_leader_ ? known_leader_->id : std::string("-"));
  text << votes_ << leaderless_ << leaving_;
  for (const auto& [id, follower] : followers_) {
    text << id << follower.next << follower.match << std::uint64_t{follower.appended_at > 0};
    if (follower.snapshot) text << follower.snapshot->index << follower.snapshot_offset;
  }
  for (const auto& [id, learner] : learners_) text << id;
  if (incoming_) text << incoming_->from << incoming_->index << incoming_->state;
  return text.Take();
}

}  // namespace violetwing::consensus
