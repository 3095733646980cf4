// Which replicas a shard's group should have: decided by its leader, one change at a time.
#ifndef VIOLETWING_CONTROL_CONSENSUS_MEMBERSHIP_HPP_
#define VIOLETWING_CONTROL_CONSENSUS_MEMBERSHIP_HPP_

#include <optional>

#include "common/time.hpp"
#include "control/consensus/replica.hpp"

namespace violetwing::consensus {

struct MemberPolicy {
  std::size_t wanted = 3;             // replicas with a vote
  Micros replaced_after = 2'000'000;  // silence by which one is given up, if another can take its place
  Micros present_within = 1'000'000;  // silence of those that may be taken in
};

// `catch_up`: the time after its start in which a machine still counts as lost, so that no other may be lost
// beside it. By then a successor must have the vote of the machine that it replaces.
MemberPolicy MakeMemberPolicy(std::size_t wanted, Micros catch_up);

// The group after the next change; empty if none is due.
std::optional<Members> NextMembers(const Replica& leader, const MemberPolicy& policy, Micros now);

}  // namespace violetwing::consensus

#endif  // VIOLETWING_CONTROL_CONSENSUS_MEMBERSHIP_HPP_
