#include "control/consensus/membership.hpp"

#include <algorithm>

namespace violetwing::consensus {
namespace {

// Of the time to catch up; the rest is for an election, where the leader was lost, and for two changes of the
// group that wait for a slow disk. A voter that stands still for less is never replaced.
constexpr Micros kReplacedShare = 2;
constexpr Micros kReplacedLeast = 1'500'000;
constexpr Micros kReplacedMost = 6'000'000;

Members Without(Members members, const ReplicaId& id) {
  std::erase_if(members, [&](const Member& member) { return member.id == id; });
  return members;
}

}  // namespace

MemberPolicy MakeMemberPolicy(std::size_t wanted, Micros catch_up) {
  MemberPolicy policy;
  policy.wanted = wanted;
  policy.replaced_after = std::clamp(catch_up / kReplacedShare, kReplacedLeast, kReplacedMost);
  return policy;
}

std::optional<Members> NextMembers(const Replica& leader, const MemberPolicy& policy, Micros now) {
  if (!leader.Ready()) return std::nullopt;
  const std::vector<Replica::Progress> followers = leader.Followers();
  const auto present = [&](const Replica::Progress& one) {
    return !one.leaving && now - one.heard_at < policy.present_within;
  };
  // A disk that another one has replaced on its machine is lost for good: it must count no longer.
  for (const Replica::Progress& voter : followers)
    for (const Replica::Progress& learner : followers)
      if (voter.voter && !learner.voter && voter.member.address == learner.member.address &&
          present(learner) && !present(voter))
        return Without(leader.members(), voter.member.id);
  const auto ready = std::find_if(followers.begin(), followers.end(), [&](const Replica::Progress& one) {
    return !one.voter && one.caught_up && present(one);
  });
  if (ready == followers.end()) return std::nullopt;
  if (leader.members().size() < policy.wanted) {
    Members grown = leader.members();
    grown.push_back(ready->member);
    return grown;
  }
  for (const Replica::Progress& voter : followers)
    if (voter.voter && (voter.leaving || now - voter.heard_at > policy.replaced_after))
      return Without(leader.members(), voter.member.id);
  return std::nullopt;
}

}  // namespace violetwing::consensus
