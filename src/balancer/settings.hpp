// What a deployment's settings have to satisfy. No decision is taken here.
#ifndef VIOLETWING_BALANCER_SETTINGS_HPP_
#define VIOLETWING_BALANCER_SETTINGS_HPP_

#include <string>

#include "violetwing_balancer/balancer.hpp"

namespace violetwing::balancer {

// Empty if they make sense.
std::string WhatIsWrong(const Settings& settings);

}  // namespace violetwing::balancer

#endif  // VIOLETWING_BALANCER_SETTINGS_HPP_
