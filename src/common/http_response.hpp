// What counts as an HTTP response to a request of the project's programs (RFC 9110, RFC 9112). All of them
// read responses with Boost.Beast's parser, which checks the syntax but accepts any three digits as a status
// and any transfer coding. Each reader therefore passes every response head to CheckResponseHead, and treats
// an error like a response that cannot be parsed.
#ifndef VIOLETWING_COMMON_HTTP_RESPONSE_HPP_
#define VIOLETWING_COMMON_HTTP_RESPONSE_HPP_

#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

namespace violetwing {

/// Why a message with valid syntax is not a response to a request.
enum class ResponseErrc {
  kStatusOutOfRange = 1,  ///< the status is not in 100 to 599 (RFC 9110, section 15)
  /// The server switches protocols (101), which no request asks for (RFC 9110, section 7.8).
  kUnrequestedUpgrade,
  /// A transfer coding other than chunked, chunked with parameters or more than once, or any transfer coding
  /// in an HTTP/1.0 message, whose framing is then unknown (RFC 9112, sections 6.1 and 7).
  kUnsupportedTransferCoding,
};

/// The category of ResponseErrc.
const boost::system::error_category& ResponseCategory();
/// Makes ResponseErrc usable as an error code.
boost::system::error_code make_error_code(ResponseErrc error);  // NOLINT(readability-identifier-naming)

/// Checks the head of a response that a parser has accepted, final or interim. Returns a ResponseErrc if it
/// is not a response to a request that asks for no upgrade and accepts no transfer coding but chunked.
boost::system::error_code CheckResponseHead(const boost::beast::http::response_header<>& head);

/// Whether a checked head is that of an interim response (1xx), after which the final one follows.
bool IsInterimResponse(const boost::beast::http::response_header<>& head);

}  // namespace violetwing

template <>
struct boost::system::is_error_code_enum<violetwing::ResponseErrc> : std::true_type {};

#endif  // VIOLETWING_COMMON_HTTP_RESPONSE_HPP_
