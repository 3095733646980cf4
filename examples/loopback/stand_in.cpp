// A stand-in for a server: answers every request with its method and path. For the example and for trying
// things.
#include <event2/event.h>

#include <cstddef>
#include <cstdio>
#include <string>

#include "control/api/http_server.hpp"

namespace {

constexpr std::size_t kMaxConnections = 100;
constexpr std::size_t kMaxBytes = 64'000'000;
constexpr std::size_t kMaxBodyBytes = 4'194'304;

}  // namespace

int main(int argc, char** argv) {
  using violetwing::http::Request;
  using violetwing::http::Responder;
  if (argc != 2) {
    std::fprintf(stderr, "usage: violetwing-stand-in HOST:PORT\n");
    return 2;
  }
  event_base* base = event_base_new();
  violetwing::http::Server server(
      base, {kMaxConnections, kMaxBytes},
      [](const std::string&, const std::string&) { return violetwing::http::BodyRule{kMaxBodyBytes}; },
      [](const Request& request, const Responder& respond) {
        respond({200, "{\"method\": \"" + request.method + "\", \"path\": \"" + request.path + "\"}", {}});
      });
  if (const std::error_code error = server.Listen(argv[1])) {
    std::fprintf(stderr, "violetwing-stand-in: %s: %s\n", argv[1], error.message().c_str());
    return 1;
  }
  event_base_dispatch(base);
  return 0;
}
