// A change of the configuration as the operator sends it, and what becomes of it.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_CHANGE_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_CHANGE_HPP_

#include <cstdint>
#include <string>

namespace violetwing::configuration {

enum class Outcome {
  kTaken,
  kConflict,  // another version is in force than the one it builds upon
  kInvalid,
  kUnknown,  // it builds upon a version so old that it may have been taken and forgotten
};

struct Answer {
  Outcome outcome = Outcome::kInvalid;
  std::int64_t version = 0;  // the one in force
  std::string problem;
};

struct Change {
  bool patch = false;     // changes some items; else the whole
  std::int64_t base = 0;  // the version it builds upon (If-Match)
  std::string body;
};

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_CHANGE_HPP_
