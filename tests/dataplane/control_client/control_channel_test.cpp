// Calls of a sidecar to a control process: which responses they take.
#include "dataplane/control_client/control_channel.hpp"

#include <catch2/catch.hpp>
#include <string>

#include "sidecar/scripted_peers.hpp"
#include "testing/unusual_responses.hpp"

namespace violetwing {
namespace {

using violetwing::sidecar::testing::Peer;
using violetwing::sidecar::testing::RunUntil;
using violetwing::sidecar::testing::ScriptedServer;

struct CallResult {
  int ended = 0;
  int status = -1;
  std::string body;
};

// The result of a call to a control process that sends `response`.
CallResult CallWithResponse(const std::string& response) {
  boost::asio::io_context io;
  ScriptedServer control(io, [&](Peer& peer) { peer.Write(response); });
  CallResult result;
  ControlChannel channel(io, std::chrono::milliseconds(2000));
  channel.Post(control.address, "/watch", "request", [&](int status, const std::string& body) {
    ++result.ended;
    result.status = status;
    result.body = body;
  });
  REQUIRE(RunUntil(io, [&] { return result.ended > 0; }));
  return result;
}

}  // namespace

TEST_CASE("MIXED: a sidecar takes nothing from a message of control that is no HTTP response") {
  for (const std::string& response : testing::InvalidResponses("reply")) {
    CAPTURE(response);
    const CallResult result = CallWithResponse(response);
    CHECK(result.status == 0);
    CHECK(result.body.empty());
  }
}

TEST_CASE("FAULT: a call of a sidecar fails if control announces more than a process can hold") {
  CHECK(CallWithResponse("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000\r\n\r\nx").status == 0);
}

TEST_CASE("A sidecar takes unusual HTTP responses of control, and skips interim ones") {
  for (const std::string& response : testing::UnusualResponses("reply")) {
    CAPTURE(response);
    const CallResult result = CallWithResponse(response);
    CHECK(result.status == 200);
    CHECK(result.body == "reply");
  }
}

}  // namespace violetwing
