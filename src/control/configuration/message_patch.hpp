// Applies a patch to a parsed configuration, which costs less than parsing the complete document.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_MESSAGE_PATCH_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_MESSAGE_PATCH_HPP_

#include <nlohmann/json.hpp>

namespace violetwing::proto {
class Configuration;
}

namespace violetwing::configuration {

/// Replaces, adds and removes items of `message` by name (PROTOCOL.md, "The operator's API"). Returns false
/// if the patch upserts anything other than `routes`, `backends`, `tenants` and `limits`, or cannot be
/// parsed. The caller must then apply it to the document and discard `message`.
bool ApplyToMessage(proto::Configuration& message, const nlohmann::ordered_json& patch);

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_MESSAGE_PATCH_HPP_
