// Validation errors of a configuration that an operator sends.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_FINDING_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_FINDING_HPP_

#include <string>
#include <vector>

namespace violetwing::configuration {

/// The kinds of findings.
enum class FindingCode {
  kMalformed,         // not JSON, or not of the field's type
  kMissing,           // a required value is absent
  kDuplicate,         // another item has the same name or key
  kOutOfRange,        // a number or string outside the allowed values
  kUnknownValue,      // not one of the values listed for the field
  kUnknownReference,  // names an item that does not exist
};

/// One validation error.
struct Finding {
  FindingCode code = FindingCode::kMalformed;
  std::string path;     // for example "routes[3].timeout_ms"
  std::string message;  // in English, without the path
};

/// Formats a finding for the operator: "path: message".
std::string ToText(const Finding& finding);
/// Formats all findings on one line, separated by semicolons.
std::string ToText(const std::vector<Finding>& findings);

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_FINDING_HPP_
