// A change of the configuration as the operator sends it, and its outcome.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_CHANGE_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_CHANGE_HPP_

#include <cstdint>
#include <string>

namespace violetwing::configuration {

/// Whether a change was made. The log's commands and answers hold the numbers: they must not change.
enum class ChangeStatus {
  kAccepted = 0,
  kVersionConflict = 1,  // another version is in force than the one it builds upon
  kInvalid = 2,
  kUnknown = 3,  // it builds upon a version so old that it may have been accepted and forgotten
};

/// What a replica decides on a change.
struct ChangeOutcome {
  ChangeStatus status = ChangeStatus::kInvalid;
  std::int64_t version = 0;  // the one in force now
  std::string message;       // why it was not accepted; empty if it was
};

/// A change (PROTOCOL.md, "The operator's API").
struct Change {
  bool patch = false;             // PATCH: changes some items; PUT otherwise: replaces the document
  std::int64_t base_version = 0;  // the version that it builds upon (If-Match)
  std::string body;               // JSON, as sent
};

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_CHANGE_HPP_
