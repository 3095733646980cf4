// Header names, limits and HTTP message types that the parts of the sidecar share.
#ifndef VIOLETWING_SIDECAR_PROTOCOL_HPP_
#define VIOLETWING_SIDECAR_PROTOCOL_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdio>
#include <string>
#include <utility>

#include "sidecar/balancer_types.hpp"

namespace violetwing::sidecar {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
// Message heads, whose bodies are streamed separately (body.hpp), and responses that the sidecar generates.
using RequestHead = http::request<http::empty_body>;
using ResponseHead = http::response<http::empty_body>;
using HttpResponse = http::response<http::string_body>;

inline constexpr std::size_t kMaxBodyBytes = std::size_t{32} * 1024 * 1024;
inline constexpr std::size_t kMaxBufferedBodyBytes = std::size_t{64} * 1024;  // longer bodies are streamed
// The most that one write takes from a body, and the window of a streamed body.
inline constexpr std::size_t kBlockBytes = std::size_t{16} * 1024;
inline constexpr std::size_t kMaxHeaderBytes = std::size_t{16} * 1024;
inline constexpr std::size_t kReadSize = kBlockBytes / 2;
// Limit of a connection's unparsed input: one header and one read.
inline constexpr std::size_t kMaxUnparsedBytes = kMaxHeaderBytes + kReadSize;

inline constexpr const char* kIdHeader = "Req-Id";
inline constexpr const char* kClassHeader = "Req-Kind";
inline constexpr const char* kTenantHeader = "Req-Owner";
inline constexpr const char* kDeadlineHeader = "Req-Deadline";
inline constexpr const char* kRetryHeader = "Req-Retry";
inline constexpr const char* kCostHeader = "Req-Cost";
inline constexpr const char* kDeclinedHeader = "Srv-Declined";
inline constexpr const char* kKeyParameter = "obj";
inline constexpr const char* kReadyPath = "/ready";

inline constexpr Micros kSecond = 1'000'000;

/// Formats a duration as the protocol's headers do: seconds with three decimals.
inline std::string FormatSeconds(Micros time) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(time) / static_cast<double>(kSecond));
  return text;
}

/// A text/plain response that the sidecar generates itself.
inline HttpResponse TextResponse(http::status status, std::string text) {
  HttpResponse response(status, 11);
  response.set(http::field::content_type, "text/plain");
  response.body() = std::move(text);
  return response;
}

/// Serializes the start line and the header fields, up to and including the empty line.
template <bool kIsRequest>
std::string SerializeHead(http::message<kIsRequest, http::empty_body>& head) {
  http::serializer<kIsRequest, http::empty_body> serializer(head);
  serializer.split(true);
  std::string text;
  ErrorCode ignored;
  serializer.next(ignored,
                  [&](ErrorCode&, const auto& buffers) { text = beast::buffers_to_string(buffers); });
  return text;
}

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_PROTOCOL_HPP_
