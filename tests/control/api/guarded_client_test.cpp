// Calls that must not be sent late, over loopback: what is sent if the guard refuses after the call has
// begun. Tests named ONE cover the rule of that name in RULES.md.
#include "control/api/guarded_client.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "testing/loopback_listener.hpp"
#include "testing/unusual_responses.hpp"

namespace violetwing::http {
namespace {

using Outcome = GuardedResult::Outcome;
using std::chrono::milliseconds;

constexpr milliseconds kTimeout{60};
constexpr milliseconds kResponseTimeout{10'000};
constexpr const char* kResponse = "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}";

// A listener whose first connection the test reads and writes.
class ScriptedPeer {
 public:
  ScriptedPeer() = default;
  ~ScriptedPeer() {
    if (connection_ >= 0) close(connection_);
  }
  ScriptedPeer(const ScriptedPeer&) = delete;
  ScriptedPeer& operator=(const ScriptedPeer&) = delete;

  const std::string& address() const { return listener_.address(); }
  // The bytes that the first connection has received since the last call.
  std::string ReadReceived() {
    if (connection_ < 0) connection_ = accept4(listener_.socket_fd(), nullptr, nullptr, SOCK_NONBLOCK);
    char bytes[4096];
    const ssize_t size = recv(connection_, bytes, sizeof bytes, MSG_DONTWAIT);
    return size > 0 ? std::string(bytes, static_cast<std::size_t>(size)) : std::string();
  }
  void Write(const std::string& text) const {
    REQUIRE(send(connection_, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
  }

 private:
  const testing::LoopbackListener listener_;
  int connection_ = -1;
};

struct EventBaseDeleter {
  void operator()(event_base* owned) const { event_base_free(owned); }
};

// A client with its event loop, and the result of its latest call.
class Caller {
 public:
  void Start(const std::string& address, GuardedClient::Guard may_send, milliseconds timeout = kTimeout) {
    result_.reset();
    GuardedClient::Call call;
    call.address = address;
    call.path = "/api/order";
    call.headers = {{"X-Violetwing-Expected-Instance", "i-1"}};
    call.body = R"({"operation":"load_model"})";
    call.timeout = timeout;
    client_.Start(call, std::move(may_send), [this](const GuardedResult& result) {
      REQUIRE_FALSE(result_);
      result_ = result;
    });
  }
  // Runs the event loop until the call has ended.
  GuardedResult AwaitResult() {
    while (!result_) event_base_loop(base_.get(), EVLOOP_ONCE);
    return *result_;
  }
  void RunLoopOnce() { event_base_loop(base_.get(), EVLOOP_ONCE); }

 private:
  const std::unique_ptr<event_base, EventBaseDeleter> base_{event_base_new()};
  GuardedClient client_{base_.get()};
  std::optional<GuardedResult> result_;
};

bool Always() { return true; }

}  // namespace

TEST_CASE("ONE: an order whose lease ends while the process is suspended is not sent when it resumes") {
  ScriptedPeer server;
  Caller caller;
  const auto lease_end = std::chrono::steady_clock::now() + milliseconds(20);
  caller.Start(server.address(), [&] { return std::chrono::steady_clock::now() < lease_end; });
  std::this_thread::sleep_for(milliseconds(40));  // the kernel establishes the connection meanwhile
  CHECK(caller.AwaitResult().outcome == Outcome::kNotSent);
  CHECK(server.ReadReceived().empty());
}

TEST_CASE("ONE: an order on a reused connection is not sent once its lease has ended") {
  ScriptedPeer server;
  Caller caller;
  bool holds_lease = true;
  const auto guard = [&] { return holds_lease; };
  caller.Start(server.address(), guard);
  while (server.ReadReceived().empty()) caller.RunLoopOnce();
  server.Write(kResponse);
  REQUIRE(caller.AwaitResult().status == 202);
  caller.Start(server.address(), guard);
  holds_lease = false;
  CHECK(caller.AwaitResult().outcome == Outcome::kNotSent);
  CHECK(server.ReadReceived().empty());
}

TEST_CASE("A guarded call sends method, path, headers and body, and reuses its connection for the next one") {
  ScriptedPeer server;
  Caller caller;
  for (int call = 0; call < 2; ++call) {
    caller.Start(server.address(), Always);
    std::string request;
    while (request.empty()) {
      caller.RunLoopOnce();
      request = server.ReadReceived();
    }
    CHECK(request.rfind("POST /api/order HTTP/1.1\r\n", 0) == 0);
    CHECK(request.find("X-Violetwing-Expected-Instance: i-1\r\n") != std::string::npos);
    CHECK(request.find("Content-Type: application/json\r\n") != std::string::npos);
    CHECK(request.find("Host: " + server.address()) != std::string::npos);
    CHECK(request.substr(request.find("\r\n\r\n") + 4) == R"({"operation":"load_model"})");
    server.Write(kResponse);
    const GuardedResult result = caller.AwaitResult();
    CHECK(result.outcome == Outcome::kAnswered);
    CHECK(result.status == 202);
  }
}

TEST_CASE("A guarded call without a response ends as unanswered, one without a connection as not sent") {
  Caller caller;
  ScriptedPeer server;
  caller.Start(server.address(), Always);
  CHECK(caller.AwaitResult().outcome == Outcome::kUnanswered);
  CHECK_FALSE(server.ReadReceived().empty());
  caller.Start("127.0.0.1:1", Always);
  CHECK(caller.AwaitResult().outcome == Outcome::kNotSent);
  caller.Start("nowhere", Always);
  CHECK(caller.AwaitResult().outcome == Outcome::kNotSent);
}

namespace {

// The result of a call whose peer sends `response`.
GuardedResult ResultOfResponse(const std::string& response) {
  ScriptedPeer server;
  Caller caller;
  caller.Start(server.address(), Always, kResponseTimeout);
  while (server.ReadReceived().empty()) caller.RunLoopOnce();
  server.Write(response);
  return caller.AwaitResult();
}

}  // namespace

TEST_CASE("MIXED: a guarded call takes neither status nor body from a message that is no HTTP response") {
  for (const std::string& response : testing::InvalidResponses("{}")) {
    CAPTURE(response);
    const GuardedResult result = ResultOfResponse(response);
    CHECK(result.outcome == Outcome::kUnanswered);
    CHECK(result.status == 0);
    CHECK(result.body.empty());
  }
}

TEST_CASE("A guarded call takes unusual HTTP responses, and skips interim ones") {
  for (const std::string& response : testing::UnusualResponses("{}")) {
    CAPTURE(response);
    const GuardedResult result = ResultOfResponse(response);
    CHECK(result.outcome == Outcome::kAnswered);
    CHECK(result.status == 200);
    CHECK(result.body == "{}");
  }
}

TEST_CASE("FAULT: a guarded call ends as unanswered if its peer announces more than a process can hold") {
  CHECK(ResultOfResponse("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000\r\n\r\nx").outcome ==
        Outcome::kUnanswered);
}

TEST_CASE("A response to a guarded call that cannot be parsed ends it as unanswered") {
  for (const std::string bytes : {"nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"}) {
    ScriptedPeer server;
    Caller caller;
    caller.Start(server.address(), Always);
    while (server.ReadReceived().empty()) caller.RunLoopOnce();
    server.Write(bytes);
    CHECK(caller.AwaitResult().outcome == Outcome::kUnanswered);
  }
}

}  // namespace violetwing::http
