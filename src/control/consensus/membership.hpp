// Which replicas a group should have: the policy that its leader follows, one change at a time.
#ifndef VIOLETWING_CONTROL_CONSENSUS_MEMBERSHIP_HPP_
#define VIOLETWING_CONTROL_CONSENSUS_MEMBERSHIP_HPP_

#include <cstddef>
#include <optional>

#include "common/time.hpp"
#include "control/consensus/replica.hpp"

namespace violetwing::consensus {

/// When members are added and removed. Durations in microseconds.
struct MembershipPolicy {
  std::size_t target_voters = 3;
  /// A voter without contact for longer than this is removed, if a learner can take its place.
  Micros replacement_timeout = 2'000'000;
  /// A learner must have had contact within this time to become a voter.
  Micros liveness_timeout = 1'000'000;
};

/// `catch_up`: the time after its start, in microseconds, in which a machine still counts as lost, so that no
/// other may be lost beside it. By then a successor must have the vote of the machine that it replaces.
MembershipPolicy MakeMembershipPolicy(std::size_t target_voters, Micros catch_up);

/// The members after the next change, for Replica::ProposeMembers; empty if no change is due or `leader` is
/// not ready to make one.
std::optional<Members> NextMembership(const Replica& leader, const MembershipPolicy& policy, Micros now);

}  // namespace violetwing::consensus

#endif  // VIOLETWING_CONTROL_CONSENSUS_MEMBERSHIP_HPP_
