// Parses the JSON of a configuration, or of a part of it, without validating its values.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_PARSER_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_PARSER_HPP_

#include <optional>
#include <string>

#include "control/configuration/finding.hpp"

namespace violetwing::proto {
class Configuration;
}

namespace violetwing::configuration {

/// Parses `json` into `out` and ignores unknown fields. Returns a finding if `json` cannot be parsed.
std::optional<Finding> ParseMessage(const std::string& json, proto::Configuration& out);

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_PARSER_HPP_
