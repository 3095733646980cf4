// Validates a parsed configuration. All findings are reported together, each with its path.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_VALIDATOR_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_VALIDATOR_HPP_

#include <memory>
#include <vector>

#include "control/configuration/configuration.hpp"
#include "control/configuration/finding.hpp"

// The operator's document in its parsed form (generated/configuration.pb.h).
namespace violetwing::proto {
class Configuration;
}

namespace violetwing::configuration {

/// Either a configuration or findings.
struct ValidationResult {
  std::shared_ptr<const Configuration> configuration;  // null if there is any finding
  std::vector<Finding> findings;
};

/// Validates `message` and fills in defaults.
ValidationResult Validate(const proto::Configuration& message);

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_VALIDATOR_HPP_
