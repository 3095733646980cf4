// A request to a control process and its response, independent of the HTTP library.
#ifndef VIOLETWING_CONTROL_API_MESSAGES_HPP_
#define VIOLETWING_CONTROL_API_MESSAGES_HPP_

#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace violetwing::http {

/// Header fields as pairs of name and value.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// A request as the server has received it.
struct Request {
  std::string method;
  std::string path;  ///< without the query
  std::string body;
  std::string if_match;  ///< the header If-Match; empty if it is absent
};

/// What the body of a request may hold.
struct BodyRule {
  std::size_t max_bytes = 0;
  std::size_t copies = 1;  ///< in which the body is held while the request is handled, the first one included
};

/// The type of a body; kBinary: protocol buffers, in calls between the processes of the system.
enum class BodyType { kJson, kBinary };

/// The value of the Content-Type header for a body of this type.
inline const char* ContentType(BodyType type) {
  return type == BodyType::kJson ? "application/json" : "application/octet-stream";
}

/// The response to be sent.
struct Response {
  int status = 200;
  std::string body;  ///< may be empty
  Headers headers;
  BodyType type = BodyType::kJson;
};

/// Sends the response to one request. May be called at any time; calls after the first one are ignored.
using Responder = std::function<void(Response)>;

}  // namespace violetwing::http

#endif  // VIOLETWING_CONTROL_API_MESSAGES_HPP_
