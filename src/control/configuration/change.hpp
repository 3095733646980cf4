// A configuration change as sent by the operator, and its outcome.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_CHANGE_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_CHANGE_HPP_

#include <cstdint>
#include <string>

namespace violetwing::configuration {

/// Whether a change was accepted. The replicated log and its results store these numbers, so they must not
/// change.
enum class ChangeStatus {
  kAccepted = 0,
  kVersionConflict = 1,  // the current version differs from the change's base version
  kInvalid = 2,
  kUnknown = 3,  // the base version is so old that the change may have been accepted and evicted
};

/// The result of applying a change on a replica.
struct ChangeOutcome {
  ChangeStatus status = ChangeStatus::kInvalid;
  std::int64_t version = 0;  // the current version
  std::string message;       // reason for the rejection; empty if accepted
};

/// A change of the configuration (PROTOCOL.md, "The operator's API").
struct Change {
  bool patch = false;             // true: PATCH, changes some items; false: PUT, replaces the document
  std::int64_t base_version = 0;  // the version that the change is based on (If-Match)
  std::string body;               // JSON, as sent
};

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_CHANGE_HPP_
