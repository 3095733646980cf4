// The HTTP status codes in responses of a control process (PROTOCOL.md; RFC 9110, section 15).
#ifndef VIOLETWING_CONTROL_API_HTTP_STATUS_HPP_
#define VIOLETWING_CONTROL_API_HTTP_STATUS_HPP_

namespace violetwing::http {

inline constexpr int kOk = 200;
inline constexpr int kTemporaryRedirect = 307;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kPreconditionFailed = 412;
inline constexpr int kContentTooLarge = 413;
inline constexpr int kRequestHeaderFieldsTooLarge = 431;
inline constexpr int kServiceUnavailable = 503;

/// The reason phrase for the status line; "Answer" for a status that is not listed above.
const char* ReasonPhrase(int status);

}  // namespace violetwing::http

#endif  // VIOLETWING_CONTROL_API_HTTP_STATUS_HPP_
