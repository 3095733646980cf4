#include "messages/decode_error.hpp"

#include <string>

namespace violetwing {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "violetwing.decode"; }

  std::string message(int error) const override {
    switch (static_cast<DecodeErrc>(error)) {
      case DecodeErrc::kMalformed:
        return "message is malformed";
      case DecodeErrc::kUnknownKind:
        return "message kind is unknown";
      case DecodeErrc::kAmbiguousKind:
        return "message has more than one kind";
      case DecodeErrc::kChecksumMismatch:
        return "checksum mismatch";
    }
    return "unknown error " + std::to_string(error);
  }
};

}  // namespace

const std::error_category& DecodeCategory() {
  static const Category kCategory;
  return kCategory;
}

std::error_code make_error_code(DecodeErrc error) { return {static_cast<int>(error), DecodeCategory()}; }

}  // namespace violetwing
