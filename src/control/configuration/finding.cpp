#include "control/configuration/finding.hpp"

namespace violetwing::configuration {

std::string ToText(const Finding& finding) { return finding.path + ": " + finding.message; }

std::string ToText(const std::vector<Finding>& findings) {
  std::string out;
  for (const Finding& finding : findings) out += (out.empty() ? "" : "; ") + ToText(finding);
  return out;
}

}  // namespace violetwing::configuration
