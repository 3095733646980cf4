// Detects the parts of an operator's document that this version ignores.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_IGNORED_MEMBERS_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_IGNORED_MEMBERS_HPP_

#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace violetwing::configuration {

/// Returns the paths of the members that have no field in configuration.proto, for example "tenants" or
/// "routes.public", without their values. A document with such members is accepted, but these settings have
/// no effect.
std::set<std::string> IgnoredMembers(const nlohmann::ordered_json& document);

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_IGNORED_MEMBERS_HPP_
