// The policy by which a group's leader chooses its members, one change at a time.
#ifndef VIOLETWING_CONTROL_CONSENSUS_MEMBERSHIP_HPP_
#define VIOLETWING_CONTROL_CONSENSUS_MEMBERSHIP_HPP_

#include <cstddef>
#include <optional>

#include "common/time.hpp"
#include "control/consensus/replica.hpp"

namespace violetwing::consensus {

/// When members are added and removed. Durations are in microseconds.
struct MembershipPolicy {
  std::size_t target_voters = 3;
  /// A voter without contact for longer than this is removed if a learner can replace it.
  Micros replacement_timeout = 2'000'000;
  /// A learner becomes a voter only if the leader has had contact with it within this time.
  Micros liveness_timeout = 1'000'000;
};

/// Returns the policy for a group of `target_voters`. `catch_up` is the time in microseconds after its start
/// during which a machine still counts as failed, so that no additional machine may fail. Within this time a
/// learner must have replaced a lost voter.
MembershipPolicy MakeMembershipPolicy(std::size_t target_voters, Micros catch_up);

/// The members after the next change, to pass to Replica::ProposeMembers. Empty if no change is due or
/// `leader` is not ready to make one.
std::optional<Members> NextMembership(const Replica& leader, const MembershipPolicy& policy, Micros now);

}  // namespace violetwing::consensus

#endif  // VIOLETWING_CONTROL_CONSENSUS_MEMBERSHIP_HPP_
