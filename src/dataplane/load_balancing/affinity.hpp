// Prefix affinity: requests that share the first parts of a prompt prefer the same servers, where those parts
// are cached. Pure logic: it uses no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_LOAD_BALANCING_AFFINITY_HPP_
#define VIOLETWING_DATAPLANE_LOAD_BALANCING_AFFINITY_HPP_

#include <vector>

#include "dataplane/load_balancing/request_attributes.hpp"
#include "messages/instances.hpp"

namespace violetwing {

/// The servers preferred for a prompt's shared parts (all but its last), chosen by rendezvous hashing
/// (highest random weight; Thaler and Ravishankar, IEEE/ACM ToN 1998, here the lowest hash) of weights, parts
/// and instance id. All sidecars compute the same servers, and a membership change remaps few prompts. Empty
/// for prompts with fewer than two parts.
std::vector<const Instance*> AffinityServers(const std::vector<const Instance*>& candidates,
                                             const RequestAttributes& attributes);

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_LOAD_BALANCING_AFFINITY_HPP_
