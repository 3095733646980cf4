// Calls between the project's programs: which responses they take.
#include "common/http_client.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

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
  std::string error;
  std::vector<std::string> lines;
};

// The result of a call to a server that sends `response`.
CallResult CallWithResponse(const std::string& response) {
  boost::asio::io_context io;
  ScriptedServer server(io, [&](Peer& peer) { peer.Write(response); });
  CallResult result;
  HttpExchange::Call call;
  call.to = server.address;
  HttpExchange::Events events;
  events.on_line = [&](const std::string& line) { result.lines.push_back(line); };
  events.on_end = [&](int status, const std::string& error) {
    ++result.ended;
    result.status = status;
    result.error = error;
  };
  HttpExchange::Start(io, call, events);
  REQUIRE(RunUntil(io, [&] { return result.ended > 0; }));
  return result;
}

}  // namespace

TEST_CASE("MIXED: a call takes neither status nor body from a message that is no HTTP response") {
  for (const std::string& response : testing::InvalidResponses("{}\n")) {
    CAPTURE(response);
    const CallResult result = CallWithResponse(response);
    CHECK(result.status == 0);
    CHECK_FALSE(result.error.empty());
    CHECK(result.lines.empty());
  }
}

TEST_CASE("A call takes unusual HTTP responses, and skips interim ones") {
  for (const std::string& response : testing::UnusualResponses("{}\n")) {
    CAPTURE(response);
    const CallResult result = CallWithResponse(response);
    CHECK(result.status == 200);
    CHECK(result.error.empty());
    CHECK(result.lines == std::vector<std::string>{"{}"});
  }
}

}  // namespace violetwing
