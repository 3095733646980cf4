// The HTTP server of a control process, over loopback.
#include "control/api/http_server.hpp"

#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "testing/loopback_listener.hpp"

namespace violetwing::http {
namespace {

constexpr std::size_t kMaxBytes = std::size_t{1} << 20;

// Lowers the number of descriptors that this process may open, for the scope.
class DescriptorLimit {
 public:
  explicit DescriptorLimit(rlim_t descriptors) {
    REQUIRE(getrlimit(RLIMIT_NOFILE, &previous_) == 0);
    const rlimit limit{descriptors, previous_.rlim_max};
    REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  }
  ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &previous_); }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

 private:
  rlimit previous_{};
};

// A client that connects and sends nothing.
class SilentClient {
 public:
  explicit SilentClient(const sockaddr_in& server) : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    REQUIRE(connect(socket_, reinterpret_cast<const sockaddr*>(&server), sizeof server) == 0);
  }
  ~SilentClient() { close(socket_); }
  SilentClient(const SilentClient&) = delete;
  SilentClient& operator=(const SilentClient&) = delete;

  int descriptor() const { return socket_; }
  bool IsClosedByServer() const {
    char byte = 0;
    return recv(socket_, &byte, 1, MSG_DONTWAIT) == 0;
  }

 private:
  const int socket_;
};

// A loopback address on which nothing listens.
sockaddr_in FreeAddress() {
  const testing::LoopbackListener listener;
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listener.socket_fd(), reinterpret_cast<sockaddr*>(&address), &size);
  return address;
}

}  // namespace

TEST_CASE("A server holds no more descriptors than connections while many clients connect at once") {
  constexpr std::size_t kMaxConnections = 8;
  constexpr std::size_t kClients = 64;
  const std::unique_ptr<event_base, void (*)(event_base*)> base(event_base_new(), event_base_free);
  Server server(
      base.get(), {kMaxConnections, kMaxBytes},
      [](const std::string&, const std::string&) { return BodyRule{}; },
      [](const Request&, const Responder&) {});
  const sockaddr_in address = FreeAddress();
  REQUIRE_FALSE(server.Listen("127.0.0.1:" + std::to_string(ntohs(address.sin_port))));
  // All are waiting to be accepted when the event loop runs.
  std::vector<std::unique_ptr<SilentClient>> clients;
  for (std::size_t i = 0; i < kClients; ++i) clients.push_back(std::make_unique<SilentClient>(address));

  {
    // Descriptors are numbered in the order of their opening. Sanitizers use some for their own checks.
    constexpr int kSpareDescriptors = 8;
    const int first_free = clients.back()->descriptor() + 1;
    const DescriptorLimit limit(static_cast<rlim_t>(first_free) + kMaxConnections + kSpareDescriptors);
    event_base_loop(base.get(), EVLOOP_NONBLOCK);
  }

  std::size_t closed = 0;
  for (const auto& client : clients) closed += client->IsClosedByServer() ? 1 : 0;
  CHECK(closed == kClients - kMaxConnections);
}

}  // namespace violetwing::http
