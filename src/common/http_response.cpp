#include "common/http_response.hpp"

#include <string>

namespace violetwing {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxStatus = 599;

class Category : public boost::system::error_category {
 public:
  const char* name() const noexcept override { return "violetwing.response"; }

  std::string message(int error) const override {
    switch (static_cast<ResponseErrc>(error)) {
      case ResponseErrc::kStatusOutOfRange:
        return "the status of the response is not in 100 to 599";
    }
    return "unknown error " + std::to_string(error);
  }
};

}  // namespace

const boost::system::error_category& ResponseCategory() {
  static const Category kCategory;
  return kCategory;
}

boost::system::error_code make_error_code(ResponseErrc error) {
  return {static_cast<int>(error), ResponseCategory()};
}

boost::system::error_code CheckResponseHead(const http::response_header<>& head) {
  const unsigned status = head.result_int();
  if (status < kMinStatus || status > kMaxStatus) return ResponseErrc::kStatusOutOfRange;
  return {};
}

bool IsInterimResponse(const http::response_header<>& head) { return head.result_int() < kMinFinalStatus; }

}  // namespace violetwing
