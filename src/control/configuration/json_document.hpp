// Operations on JSON documents that may nest deeply. They do not recurse, so that no document exhausts the
// stack of the process.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_JSON_DOCUMENT_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_JSON_DOCUMENT_HPP_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

namespace violetwing::configuration {

/// Returns the number of containers around the innermost value: 0 for a scalar, 1 for an empty container.
std::size_t NestingDepth(const nlohmann::ordered_json& document);

/// Returns a member of an object, or an empty object if it has no such member.
const nlohmann::ordered_json& MemberOrEmptyObject(const nlohmann::ordered_json& object, const char* key);

/// Serializes a document to the same text as `document.dump()`, which recurses.
std::string Serialize(const nlohmann::ordered_json& document);

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_JSON_DOCUMENT_HPP_
