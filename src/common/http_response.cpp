#include "common/http_response.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <string>

namespace violetwing {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxStatus = 599;
constexpr unsigned kHttp11 = 11;

class Category : public boost::system::error_category {
 public:
  const char* name() const noexcept override { return "violetwing.response"; }

  std::string message(int error) const override {
    switch (static_cast<ResponseErrc>(error)) {
      case ResponseErrc::kStatusOutOfRange:
        return "the status of the response is not in 100 to 599";
      case ResponseErrc::kUnrequestedUpgrade:
        return "the response switches protocols, which was not requested";
      case ResponseErrc::kUnsupportedTransferCoding:
        return "the transfer coding of the response is not supported";
    }
    return "unknown error " + std::to_string(error);
  }
};

// Whether the message has no transfer coding, or only chunked, once.
bool HasSupportedTransferCoding(const http::response_header<>& head) {
  const auto [begin, end] = head.equal_range(http::field::transfer_encoding);
  if (begin == end) return true;
  if (head.version() < kHttp11) return false;
  int codings = 0;
  for (auto it = begin; it != end; ++it) {
    const http::opt_token_list list(it->value());
    if (!http::validate_list(list)) return false;
    for (const auto coding : list) {
      if (!boost::beast::iequals(coding, "chunked")) return false;
      ++codings;
    }
  }
  return codings == 1;
}

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
  if (head.result() == http::status::switching_protocols) return ResponseErrc::kUnrequestedUpgrade;
  if (!HasSupportedTransferCoding(head)) return ResponseErrc::kUnsupportedTransferCoding;
  return {};
}

bool IsInterimResponse(const http::response_header<>& head) { return head.result_int() < kMinFinalStatus; }

}  // namespace violetwing
