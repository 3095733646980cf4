// What an outcome tells of the server it came from.
#ifndef VIOLETWING_BALANCER_EVIDENCE_HPP_
#define VIOLETWING_BALANCER_EVIDENCE_HPP_

#include <cstddef>

#include "balancer/records.hpp"

namespace violetwing::balancer {

// Takes an outcome of class `own`, of `classes`, into what is known of the server and of the class's usual
// time. True if the server is to be ejected for it.
bool Learn(Server& server, ClassTimes& times, std::size_t own, std::size_t classes, Micros latency_target,
           const Outcome& outcome);

}  // namespace violetwing::balancer

#endif  // VIOLETWING_BALANCER_EVIDENCE_HPP_
