// Requests of a control process to servers and other control processes, over loopback. The test named ONE
// covers the rule of that name in RULES.md.
#include "control/api/http_client.hpp"

#include <event2/event.h>

#include <catch2/catch.hpp>
#include <cerrno>
#include <memory>
#include <string>

#include "testing/loopback_listener.hpp"

namespace violetwing::http {
namespace {

constexpr std::chrono::milliseconds kTimeout{50};
// More than the socket buffers hold for a peer that does not read, so that part of it waits to be sent.
constexpr std::size_t kLargeBody = std::size_t{8} * 1024 * 1024;

// Accepts connections, and reads nothing before EndOfConnection is called.
class SilentPeer {
 public:
  const std::string& address() const { return listener_.address(); }

  // Reads the next connection to its end. Returns the error with which it ends, 0 for an orderly close.
  int EndOfConnection() const {
    const int connection = accept(listener_.socket_fd(), nullptr, nullptr);
    char bytes[4096];
    ssize_t size = 0;
    do size = recv(connection, bytes, sizeof bytes, 0);
    while (size > 0);
    const int error = size < 0 ? errno : 0;
    close(connection);
    return error;
  }

 private:
  const testing::LoopbackListener listener_;
};

}  // namespace

// Without the reset, the kernel may still deliver the request seconds later, when its sender may no longer be
// the leader.
TEST_CASE("A request that times out resets its connection, so that no part of it arrives later") {
  const std::unique_ptr<event_base, void (*)(event_base*)> base(event_base_new(), event_base_free);
  const SilentPeer peer;
  int status = -1;
  {
    Client client(base.get());
    client.Call(peer.address(), "POST", "/api/order", std::string(kLargeBody, 'x'), kTimeout,
                [&](int received, const std::string&) {
                  status = received;
                  event_base_loopbreak(base.get());
                });
    event_base_dispatch(base.get());
    CHECK(status == 0);
    CHECK(peer.EndOfConnection() == ECONNRESET);
  }
}

TEST_CASE("ONE: an order sent while a call to the same server times out still ends at its own timeout") {
  const std::unique_ptr<event_base, void (*)(event_base*)> base(event_base_new(), event_base_free);
  const SilentPeer peer;
  int ended = 0;
  Client client(base.get());
  for (int i = 0; i < 2; ++i)
    client.Call(peer.address(), "POST", "/api/order", std::string(kLargeBody, 'x'), kTimeout,
                [&](int status, const std::string&) {
                  CHECK(status == 0);
                  if (++ended == 2) event_base_loopbreak(base.get());
                });
  event_base_dispatch(base.get());
  CHECK(peer.EndOfConnection() == ECONNRESET);
  CHECK(peer.EndOfConnection() == ECONNRESET);
}

}  // namespace violetwing::http
