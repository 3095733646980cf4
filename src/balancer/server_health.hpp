// Server health statistics, learned from the outcomes of attempts.
#ifndef VIOLETWING_BALANCER_SERVER_HEALTH_HPP_
#define VIOLETWING_BALANCER_SERVER_HEALTH_HPP_

#include <cstddef>

#include "balancer/records.hpp"

namespace violetwing::balancer {

// Updates the health of a server and the mean latency of the request class from an outcome. `class_count` is
// the number of classes. Returns whether the outcome is a reason to eject the server.
bool UpdateServerHealth(Server& server, ClassTimes& class_times, std::size_t request_class,
                        std::size_t class_count, Micros latency_target, const Outcome& outcome);

}  // namespace violetwing::balancer

#endif  // VIOLETWING_BALANCER_SERVER_HEALTH_HPP_
