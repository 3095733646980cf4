// Which parts of an operator's document this version does not read.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_IGNORED_MEMBERS_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_IGNORED_MEMBERS_HPP_

#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace violetwing::configuration {

/// The members that no field of configuration.proto stands for, as "tenants" or "routes.public", without
/// their values. A document with such members is accepted, but asks for something that the system does not
/// do.
std::set<std::string> IgnoredMembers(const nlohmann::ordered_json& document);

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_IGNORED_MEMBERS_HPP_
