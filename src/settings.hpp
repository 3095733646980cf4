// What a deployment's settings have to satisfy. No decision is taken here.
#ifndef MERLINRUN_SRC_SETTINGS_HPP_
#define MERLINRUN_SRC_SETTINGS_HPP_

#include <string>

#include "merlinrun/balancer.hpp"

namespace merlinrun {

// Empty if they make sense.
std::string WhatIsWrong(const Settings& settings);

}  // namespace merlinrun

#endif  // MERLINRUN_SRC_SETTINGS_HPP_
