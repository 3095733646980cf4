// Checks the form of a configuration change before it is submitted to the log.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_CHANGE_FORM_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_CHANGE_FORM_HPP_

#include <cstddef>
#include <optional>
#include <string>

#include "control/configuration/change.hpp"

namespace violetwing::configuration {

/// The maximum nesting depth of a change's body: that of messages in JSON (protocol buffers'
/// JsonStringToMessage), so that it limits unknown members like known ones.
constexpr std::size_t kMaxChangeDepth = 100;

/// Why a change is rejected before it is submitted.
enum class FormProblem {
  kNotJson,         ///< the body is not JSON in UTF-8; no version of this program has accepted such a change
  kNestsTooDeep,    ///< containers nest deeper than kMaxChangeDepth
  kDeletesNonName,  ///< a list in a patch's `delete` holds something that is not a name
  kTooLarge,        ///< reading the change would take more memory than is allowed
};

/// Returns the first problem of a change's form that makes it invalid on every version of the configuration;
/// empty if there is none. `max_parsed_bytes`: the memory that reading the change may take, which for a body
/// of small values is many times its size. Stricter than `State::Apply`, which must still accept each change
/// that an earlier version of this program has accepted.
std::optional<FormProblem> CheckForm(const Change& change, std::size_t max_parsed_bytes);

/// Describes the problem for the operator, without any text of the change.
std::string ToText(FormProblem problem);

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_CHANGE_FORM_HPP_
