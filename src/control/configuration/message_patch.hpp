// Applies a patch to a parsed configuration, which costs less than parsing the complete document.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_MESSAGE_PATCH_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_MESSAGE_PATCH_HPP_

#include <nlohmann/json.hpp>

namespace violetwing::proto {
class Configuration;
}

namespace violetwing::configuration {

/// Whether a patch was applied to a parsed configuration.
enum class MessagePatchResult {
  kApplied,
  /// The patch upserts anything other than `routes`, `backends`, `tenants` and `limits`, or cannot be parsed.
  /// The caller must apply it to the document and read that.
  kNotMergeable,
  kInvalidNames,  ///< a list in `delete` holds something that is not a name
};

/// Replaces, adds and removes items of `message` by name (PROTOCOL.md, "The operator's API"). The message is
/// unspecified unless the result is `kApplied`.
MessagePatchResult ApplyToMessage(proto::Configuration& message, const nlohmann::ordered_json& patch);

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_MESSAGE_PATCH_HPP_
