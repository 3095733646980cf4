#include "control/control_error.hpp"

#include <string>

namespace violetwing {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "violetwing.control"; }

  std::string message(int error) const override {
    switch (static_cast<ControlErrc>(error)) {
      case ControlErrc::kCommitStatusUnknown:
        return "not applied in time, commit status unknown";
      case ControlErrc::kNoQuorum:
        return "no contact with a quorum";
      case ControlErrc::kUnreadableState:
        return "the saved state cannot be read";
    }
    return "unknown error " + std::to_string(error);
  }
};

}  // namespace

const std::error_category& ControlCategory() {
  static const Category kCategory;
  return kCategory;
}

std::error_code make_error_code(ControlErrc error) { return {static_cast<int>(error), ControlCategory()}; }

}  // namespace violetwing
