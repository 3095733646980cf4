// Reads the operator's configuration: parses and validates it.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_READER_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_READER_HPP_

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "control/configuration/configuration.hpp"
#include "control/configuration/finding.hpp"

// The operator's document in its parsed form (generated/configuration.pb.h).
namespace violetwing::proto {
class Configuration;
}

namespace violetwing::configuration {

/// Either a configuration or findings.
struct ReadResult {
  std::shared_ptr<const Configuration> configuration;  // null if there is any finding
  std::vector<Finding> findings;
  std::shared_ptr<const proto::Configuration> message;  // for `ReadPatched`; null if there is any finding
};

/// Reads a complete document.
ReadResult Read(const std::string& json);
/// Reads the configuration that results from applying `patches` in order to `before`. The result equals that
/// of `Read` on the patched document, but only the patches are parsed. Returns `nullopt` if a patch cannot be
/// applied to the parsed form (message_patch.hpp); the caller must then read the complete document. Never
/// throws, whatever the patches contain.
std::optional<ReadResult> ReadPatched(const proto::Configuration& before,
                                      std::span<const nlohmann::ordered_json> patches);

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_READER_HPP_
