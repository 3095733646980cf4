#include "control/api/http_client.hpp"

#include <cstdint>
#include <utility>

namespace violetwing::http {

namespace {

// 16 MiB, for replies of control processes.
constexpr std::uint64_t kMaxBodyBytes = 16'777'216;

}  // namespace

void Client::Call(const std::string& address, const std::string& method, const std::string& path,
                  std::string body, std::chrono::milliseconds timeout, ResponseCallback done,
                  const Headers& headers, BodyType type) {
  GuardedClient::Call call;
  call.address = address;
  call.method = method;
  call.path = path;
  call.headers = headers;
  call.body = std::move(body);
  call.type = type;
  call.timeout = timeout;
  call.timeout_scope = TimeoutScope::kProgress;
  call.max_response_bytes = kMaxBodyBytes;
  const auto always = [] { return true; };
  calls_.Start(std::move(call), always, [done = std::move(done)](GuardedResult result) {
    done(result.status, std::move(result.body));
  });
}

}  // namespace violetwing::http
