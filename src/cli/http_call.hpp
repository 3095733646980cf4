// Calls to the project's own services: HTTP/1.1 and JSON, one call to a connection.
#ifndef VIOLETWING_CLI_HTTP_CALL_HPP_
#define VIOLETWING_CLI_HTTP_CALL_HPP_

#include <functional>
#include <stdexcept>
#include <string>

namespace violetwing::cli {

// Nobody answers, or not in time: the answer is no, whatever was asked.
class Unreachable : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct HttpAnswer {
  int status = 0;
  std::string body;
};

// Throws Unreachable if nobody answers at `at` (host:port) within ten seconds, std::runtime_error if that is
// no address.
HttpAnswer Call(const std::string& at, const std::string& method, const std::string& target,
                const std::string& body = "");

// Hands out each line of an answer that stays open, until it ends or `take` says false.
void Follow(const std::string& at, const std::string& target,
            const std::function<bool(const std::string&)>& take);

}  // namespace violetwing::cli

#endif  // VIOLETWING_CLI_HTTP_CALL_HPP_
