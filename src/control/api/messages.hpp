// A call to a control process and its answer, free of the library that carries them.
#ifndef VIOLETWING_CONTROL_API_MESSAGES_HPP_
#define VIOLETWING_CONTROL_API_MESSAGES_HPP_

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace violetwing::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Request {
  std::string method;
  std::string path;  // without the query
  std::string body;
  std::string if_match;
};

enum class BodyType { kJson, kBinary };  // binary: of internal calls

struct Response {
  int status = 200;
  std::string body;  // may be empty
  Headers headers;
  BodyType type = BodyType::kJson;
};

// Takes the answer to one request: to be called once, at any time.
using Answer = std::function<void(Response)>;

}  // namespace violetwing::http

#endif  // VIOLETWING_CONTROL_API_MESSAGES_HPP_
