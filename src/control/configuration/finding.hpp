// What is wrong with a configuration that an operator sends.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_FINDING_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_FINDING_HPP_

#include <string>
#include <vector>

namespace violetwing::configuration {

/// The kinds of findings.
enum class FindingCode {
  kUnreadable,        // not JSON, or of another type than the field's
  kMissing,           // a required value is not given
  kDuplicate,         // another item has the same name or key
  kOutOfRange,        // a number or a text outside the values allowed
  kUnknownValue,      // not one of the values listed for the field
  kUnknownReference,  // names an item that does not exist
};

/// One finding.
struct Finding {
  FindingCode code = FindingCode::kUnreadable;
  std::string path;     // "routes[3].timeout_ms"
  std::string message;  // in English, without the path
};

/// One finding, as the operator sees it: "path: message".
std::string ToText(const Finding& finding);
/// All findings in one line, separated by semicolons.
std::string ToText(const std::vector<Finding>& findings);

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_FINDING_HPP_
