// Applies a patch to the operator's JSON document. Preserves the order of its fields and unknown fields.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_DOCUMENT_PATCH_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_DOCUMENT_PATCH_HPP_

#include <nlohmann/json.hpp>
#include <optional>

#include "control/configuration/finding.hpp"

namespace violetwing::configuration {

/// Removes the items named in the patch's `delete`, then replaces or adds the items in its `upsert` by name
/// (PROTOCOL.md, "The operator's API"). Items in lists within these lists count as items of the outer list,
/// as they do for ApplyToMessage. Returns a finding with its path in the patch if the patch is not
/// well-formed; `document` may then be partially modified. Moves the items out of the patch: copying them
/// would recurse.
std::optional<Finding> ApplyToDocument(nlohmann::ordered_json& document, nlohmann::ordered_json patch);

/// Moves items of lists within the lists `routes`, `backends` and `tenants` into these lists; of items with
/// the same name, the last one replaces the others. Returns whether the document is changed and each item has
/// a name. Earlier versions added a patched item beside its earlier value in an inner list.
[[nodiscard]] bool MergeNestedItems(nlohmann::ordered_json& document);

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_DOCUMENT_PATCH_HPP_
