// Requests of a control process to servers and other control processes, over loopback. The test named ONE
// covers the rule of that name in RULES.md.
#include "control/api/http_client.hpp"

#include <event2/event.h>

#include <catch2/catch.hpp>
#include <cerrno>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "testing/loopback_listener.hpp"
#include "testing/unusual_responses.hpp"

namespace violetwing::http {
namespace {

constexpr std::chrono::milliseconds kTimeout{50};
constexpr std::chrono::milliseconds kResponseTimeout{10'000};
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

enum class AfterResponse { kReadsOn, kClosesItsSide };

// Accepts one connection and sends a response once a request has arrived.
class RespondingPeer {
 public:
  RespondingPeer(const std::string& response, AfterResponse after)
      : thread_([this, response, after] {
          const int connection = accept(listener_.socket_fd(), nullptr, nullptr);
          char bytes[4096];
          if (recv(connection, bytes, sizeof bytes, 0) > 0)
            send(connection, response.data(), response.size(), MSG_NOSIGNAL);
          if (after == AfterResponse::kClosesItsSide) shutdown(connection, SHUT_WR);
          while (recv(connection, bytes, sizeof bytes, 0) > 0) {
          }
          close(connection);
        }) {}
  ~RespondingPeer() { thread_.join(); }
  RespondingPeer(const RespondingPeer&) = delete;
  RespondingPeer& operator=(const RespondingPeer&) = delete;

  const std::string& address() const { return listener_.address(); }

 private:
  const testing::LoopbackListener listener_;
  std::thread thread_;
};

struct CallResult {
  int status = -1;
  std::string body;
};

// The result of a call whose peer sends `response`.
CallResult CallWithResponse(const std::string& response, AfterResponse after = AfterResponse::kReadsOn) {
  const std::unique_ptr<event_base, void (*)(event_base*)> base(event_base_new(), event_base_free);
  const RespondingPeer peer(response, after);
  CallResult result;
  Client client(base.get());
  client.Call(peer.address(), "GET", "/api/report", {}, kResponseTimeout, [&](int status, std::string body) {
    result = {status, std::move(body)};
    event_base_loopbreak(base.get());
  });
  event_base_dispatch(base.get());
  return result;
}

}  // namespace

TEST_CASE("MIXED: a control process takes neither status nor body from a message that is no HTTP response") {
  for (const std::string& response : testing::InvalidResponses("{}")) {
    CAPTURE(response);
    const CallResult result = CallWithResponse(response);
    CHECK(result.status == 0);
    CHECK(result.body.empty());
  }
}

TEST_CASE("A control process takes unusual HTTP responses, and skips interim ones") {
  for (const std::string& response : testing::UnusualResponses("{}")) {
    CAPTURE(response);
    const CallResult result = CallWithResponse(response);
    CHECK(result.status == 200);
    CHECK(result.body == "{}");
  }
}

TEST_CASE("The end of the stream completes a response without a length, and no other one") {
  const std::string no_length = "HTTP/1.1 200 OK\r\n\r\n";
  const CallResult complete = CallWithResponse(no_length + "{}", AfterResponse::kClosesItsSide);
  CHECK(complete.status == 200);
  CHECK(complete.body == "{}");
  CHECK(CallWithResponse(no_length, AfterResponse::kClosesItsSide).status == 200);
  for (const std::string truncated :
       {"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n"}) {
    CAPTURE(truncated);
    CHECK(CallWithResponse(truncated, AfterResponse::kClosesItsSide).status == 0);
  }
}

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
