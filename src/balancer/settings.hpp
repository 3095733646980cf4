// Validation of a deployment's settings.
#ifndef VIOLETWING_BALANCER_SETTINGS_HPP_
#define VIOLETWING_BALANCER_SETTINGS_HPP_

#include <string>

#include "violetwing_balancer/balancer.hpp"

namespace violetwing::balancer {

// Returns the reason why the settings are invalid, or an empty string if they are valid.
std::string ValidateSettings(const Settings& settings);

}  // namespace violetwing::balancer

#endif  // VIOLETWING_BALANCER_SETTINGS_HPP_
