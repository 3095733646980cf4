#include "control/consensus/membership.hpp"

#include <algorithm>
#include <vector>

namespace violetwing::consensus {
namespace {

// A voter is replaced after the catch-up time divided by this. The rest of that time is reserved for an
// election if the leader was lost, and for two membership changes on a slow disk.
constexpr Micros kCatchUpDivisor = 2;
// A voter that stalls for less than the minimum is never replaced.
constexpr Micros kMinReplacementTimeout = 1'500'000;
constexpr Micros kMaxReplacementTimeout = 6'000'000;

using Statuses = std::vector<FollowerStatus>;

Members WithoutMember(Members members, const ReplicaId& id) {
  std::erase_if(members, [&](const Member& member) { return member.id == id; });
  return members;
}

bool IsAlive(const FollowerStatus& follower, const MembershipPolicy& policy, Micros now) {
  return !follower.draining && now - follower.last_contact_at < policy.liveness_timeout;
}

// Finds a voter whose machine now runs a learner. Its disk was replaced, so the voter is lost permanently.
const FollowerStatus* FindVoterWithLostDisk(const Statuses& followers, const MembershipPolicy& policy,
                                            Micros now) {
  for (const FollowerStatus& voter : followers) {
    if (!voter.voter || IsAlive(voter, policy, now)) continue;
    const bool replaced = std::any_of(followers.begin(), followers.end(), [&](const FollowerStatus& learner) {
      return !learner.voter && learner.member.address == voter.member.address &&
             IsAlive(learner, policy, now);
    });
    if (replaced) return &voter;
  }
  return nullptr;
}

const FollowerStatus* FindPromotableLearner(const Statuses& followers, const MembershipPolicy& policy,
                                            Micros now) {
  const auto it = std::find_if(followers.begin(), followers.end(), [&](const FollowerStatus& follower) {
    return !follower.voter && follower.caught_up && IsAlive(follower, policy, now);
  });
  return it == followers.end() ? nullptr : &*it;
}

const FollowerStatus* FindReplaceableVoter(const Statuses& followers, const MembershipPolicy& policy,
                                           Micros now) {
  const auto it = std::find_if(followers.begin(), followers.end(), [&](const FollowerStatus& follower) {
    return follower.voter &&
           (follower.draining || now - follower.last_contact_at > policy.replacement_timeout);
  });
  return it == followers.end() ? nullptr : &*it;
}

}  // namespace

MembershipPolicy MakeMembershipPolicy(std::size_t target_voters, Micros catch_up) {
  MembershipPolicy policy;
  policy.target_voters = target_voters;
  policy.replacement_timeout =
      std::clamp(catch_up / kCatchUpDivisor, kMinReplacementTimeout, kMaxReplacementTimeout);
  return policy;
}

std::optional<Members> NextMembership(const Replica& leader, const MembershipPolicy& policy, Micros now) {
  if (!leader.Ready()) return std::nullopt;
  const Statuses followers = leader.FollowerStatuses();
  if (const FollowerStatus* lost_voter = FindVoterWithLostDisk(followers, policy, now))
    return WithoutMember(leader.members(), lost_voter->member.id);
  const FollowerStatus* const learner = FindPromotableLearner(followers, policy, now);
  if (learner == nullptr) return std::nullopt;
  if (leader.members().size() < policy.target_voters) {
    Members members = leader.members();
    members.push_back(learner->member);
    return members;
  }
  if (const FollowerStatus* voter = FindReplaceableVoter(followers, policy, now))
    return WithoutMember(leader.members(), voter->member.id);
  return std::nullopt;
}

}  // namespace violetwing::consensus
