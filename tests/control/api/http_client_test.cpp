// Requests of a control process to servers and other control processes, over loopback.
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
// More than the system takes in for a peer that does not read: some of it waits to be sent.
constexpr std::size_t kLargeBody = std::size_t{8} * 1024 * 1024;

// Takes connections and reads nothing until it is asked to.
class SilentPeer {
 public:
  const std::string& address() const { return listener_.address(); }

  // The error with which the next connection ends, 0 for a plain end.
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

// Otherwise the kernel may still deliver the request seconds later, when its sender may no longer lead.
TEST_CASE("A request that times out resets its connection, so that no part of it arrives later") {
  const std::unique_ptr<event_base, void (*)(event_base*)> base(event_base_new(), event_base_free);
  const SilentPeer peer;
  int status = -1;
  {
    Client client(base.get());
    client.Call(peer.address(), "POST", "/api/order", std::string(kLargeBody, 'x'), kTimeout,
                [&](int got, const std::string&) {
                  status = got;
                  event_base_loopbreak(base.get());
                });
    event_base_dispatch(base.get());
    CHECK(status == 0);
    CHECK(peer.EndOfConnection() == ECONNRESET);
  }
}

TEST_CASE("ONE: an order behind a call that times out does not outlive its own time limit") {
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
