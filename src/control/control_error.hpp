// The errors that the parts of a control process report to each other.
#ifndef VIOLETWING_CONTROL_CONTROL_ERROR_HPP_
#define VIOLETWING_CONTROL_CONTROL_ERROR_HPP_

#include <system_error>

namespace violetwing {

/// Error codes of the control process, of category ControlCategory().
enum class ControlErrc {
  /// The command was not applied here in time. It may have been committed, or may still be committed later,
  /// so only an idempotent command may safely be submitted again.
  kCommitStatusUnknown = 1,
  /// Nothing was submitted: this process has been out of contact with a quorum for longer than an election
  /// takes.
  kNoQuorum,
  /// A snapshot of a state machine cannot be decoded, or has a format that this version rejects. The replica
  /// must stop, because it would answer from a different state than its peers.
  kUnreadableState,
};

/// The category "violetwing.control".
const std::error_category& ControlCategory();

/// Found by argument-dependent lookup when a ControlErrc converts to std::error_code.
std::error_code make_error_code(ControlErrc error);

}  // namespace violetwing

template <>
struct std::is_error_code_enum<violetwing::ControlErrc> : std::true_type {};

#endif  // VIOLETWING_CONTROL_CONTROL_ERROR_HPP_
