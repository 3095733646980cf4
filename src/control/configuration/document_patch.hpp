// Applies a patch to the operator's JSON document. Preserves the order of its fields and unknown fields.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_DOCUMENT_PATCH_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_DOCUMENT_PATCH_HPP_

#include <nlohmann/json.hpp>
#include <optional>

#include "control/configuration/finding.hpp"

namespace violetwing::configuration {

/// Removes the items named in the patch's `delete`, then replaces or adds the items in its `upsert` by name
/// (PROTOCOL.md, "The operator's API"). Returns a finding with its path in the patch if the patch is not
/// well-formed; `document` may then be partially modified. Moves the items out of the patch: copying them
/// would recurse.
std::optional<Finding> ApplyToDocument(nlohmann::ordered_json& document, nlohmann::ordered_json patch);

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_DOCUMENT_PATCH_HPP_
