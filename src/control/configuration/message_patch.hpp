// Applies a patch to a configuration in its parsed form, which costs less than parsing the whole document.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_MESSAGE_PATCH_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_MESSAGE_PATCH_HPP_

#include <nlohmann/json.hpp>

namespace violetwing::proto {
class Configuration;
}

namespace violetwing::configuration {

/// Replaces, adds and removes items of `message` by name (PROTOCOL.md, "The operator's API"). Returns false
/// if the patch holds anything but lists of routes and backends, and limits, or cannot be parsed: it must
/// then be applied to the document, and `message` may not be used any more.
bool ApplyToMessage(proto::Configuration& message, const nlohmann::ordered_json& patch);

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_MESSAGE_PATCH_HPP_
