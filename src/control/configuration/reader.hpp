// Reads a configuration of the operator: parses and checks it.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_READER_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_READER_HPP_

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "control/configuration/configuration.hpp"
#include "control/configuration/finding.hpp"

// The operator's document as protobuf parsed it (generated/configuration.pb.h).
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

/// Reads a whole document.
ReadResult Read(const std::string& json);
/// Reads the document that `patches`, one after the other, make of the one that was read as `before`. The
/// result equals that of `Read` on the patched document, but only the patches are parsed. `nullopt` if a
/// patch cannot be applied to the parsed form (message_patch.hpp): the whole document must be read then.
std::optional<ReadResult> ReadPatched(const proto::Configuration& before,
                                      const std::vector<nlohmann::ordered_json>& patches);

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_READER_HPP_
