// Responses of servers that are no HTTP responses (RFC 9110, RFC 9112), and unusual ones that are. Tests
// named MIXED cover the rule of that name in RULES.md.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "dataplane/sidecar_fixture.hpp"
#include "testing/unusual_responses.hpp"

namespace violetwing {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

// Text that only the servers of these tests send.
const std::string kServerText = "text of the server";

// A complete response with the given status line and fields.
std::string Response(const std::string& status_line, const std::string& fields = "") {
  return ResponseText(status_line, kServerText, kSigned + fields);
}

std::string ChunkedResponse(const std::string& version, const std::string& fields) {
  return ChunkedResponseText(version, kSigned + fields, kServerText);
}

const std::vector<std::string> kInvalidStatus{
    Response("HTTP/1.1 000 OK"),
    Response("HTTP/1.1 001 OK"),
    Response("HTTP/1.1 099 OK"),
    Response("HTTP/1.1 600 OK"),
    Response("HTTP/1.1 999 OK"),
    Response("HTTP/1.0 000 OK"),
    Response("HTTP/1.1 000 ", "X-Violetwing-Not-Executed: 1\r\n"),
};
const std::vector<std::string> kMalformedStatusLine{
    Response("HTTP/1.1 20 OK"),      Response("HTTP/1.1 2000 OK"), Response("HTTP/1.1 +20 OK"),
    Response("HTTP/1.1 -20 OK"),     Response("HTTP/1.1 2x0 OK"),  Response("HTTP/1.1  200 OK"),
    Response("HTTP/1.1 200"),        Response("HTTP/2.0 200 OK"),  Response("HTTP/1.1 200 O\x01K"),
    Response("\r\nHTTP/1.1 200 OK"),
};
const std::vector<std::string> kMalformedField{
    Response("HTTP/1.1 200 OK", "X Blank: 1\r\n"),
    Response("HTTP/1.1 200 OK", "X-Blank : 1\r\n"),
    Response("HTTP/1.1 200 OK", "X\tTab: 1\r\n"),
    Response("HTTP/1.1 200 OK\r\n X-First: 1"),
    Response("HTTP/1.1 200 OK", "X\001Control: 1\r\n"),
    Response("HTTP/1.1 200 OK",
             "X\x7f"
             "Delete: 1\r\n"),
    Response("HTTP/1.1 200 OK", std::string("X\0Nul: 1\r\n", 10)),
    Response("HTTP/1.1 200 OK", "X\x80High: 1\r\n"),
    Response("HTTP/1.1 200 OK", "no colon\r\n"),
    Response("HTTP/1.1 200 OK", ": no name\r\n"),
    Response("HTTP/1.1 200 OK", "Content-Length : 4\r\n"),
    Response("HTTP/1.1 200 OK", "X-Value: \x01\r\n"),
    Response("HTTP/1.1 200 OK", "X-Bare: a\rb\r\n"),
    Response("HTTP/1.1 200 OK", "X-Bare: a\nX-Other: b\r\n"),
};
const std::vector<std::string> kInvalidFraming{
    ChunkedResponse("HTTP/1.1", "Transfer-Encoding: gzip, chunked\r\n"),
    ChunkedResponse("HTTP/1.1", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n"),
    ChunkedResponse("HTTP/1.1", "Transfer-Encoding: chunked;q=1\r\n"),
    ChunkedResponse("HTTP/1.0", "Transfer-Encoding: chunked\r\n"),
    Response("HTTP/1.1 200 OK", "Transfer-Encoding: gzip\r\n"),
    Response("HTTP/1.1 200 OK", "Transfer-Encoding: chunked, gzip\r\n"),
    Response("HTTP/1.1 200 OK", "Transfer-Encoding: identity\r\n"),
    Response("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n"),
    Response("HTTP/1.1 200 OK", "Content-Length: 4\r\n"),
};
const std::vector<std::string> kUnrequestedUpgrade{
    "HTTP/1.1 101 Switching Protocols\r\n" + kSigned + "Upgrade: x\r\nConnection: upgrade\r\n\r\n" +
        Response("HTTP/1.1 200 OK"),
};

// Only the server under test: the client gets 502 and nothing of the server's response.
void CheckNothingIsForwarded(const std::vector<std::string>& responses) {
  for (const std::string& response : responses) {
    CAPTURE(response);
    Sidecar sidecar;
    ScriptedServer server(sidecar.io, AlwaysRespond(response));
    sidecar.SetServers({&server});
    const auto client = sidecar.SendRequest(RequestTo("/once/"));
    REQUIRE(sidecar.Until([&] { return Received(client, "\r\n\r\n"); }));
    CHECK(client->received.rfind("HTTP/1.1 502 ", 0) == 0);
    CHECK_FALSE(Received(client, kServerText));
    CHECK_FALSE(Received(client, "Signature"));
    CHECK(server.requests() == 1);
  }
}

// Beside a server whose responses are valid: each idempotent request is retried there, the invalid response
// promises nothing for others, and the server is ejected after consecutive failures.
void CheckCountsAsFailedAttempt(const std::string& response) {
  CAPTURE(response);
  constexpr int kRequests = 60;
  // Without ejections half of the requests reach the invalid server. Their durations double, so that it gets
  // this many within half a minute.
  constexpr int kMaxWithEjections = 10;
  Sidecar sidecar;
  ScriptedServer invalid(sidecar.io, AlwaysRespond(response));
  ScriptedServer valid(sidecar.io, AlwaysRespond(Reply("200 OK", "bytes", kSigned)));
  sidecar.SetServers({&invalid, &valid});
  for (int i = 0; i < kRequests; ++i) {
    const auto client = sidecar.SendRequest(RequestTo("/safe/"));
    REQUIRE(sidecar.Until([&] { return Received(client, "\r\n\r\n"); }));
    CHECK(client->received.rfind("HTTP/1.1 200 ", 0) == 0);
  }
  CHECK(invalid.requests() <= kMaxWithEjections);
}

void CheckIsNoPromise(const std::string& response) {
  CAPTURE(response);
  Sidecar sidecar;
  ScriptedServer first(sidecar.io, AlwaysRespond(response));
  ScriptedServer second(sidecar.io, AlwaysRespond(response));
  sidecar.SetServers({&first, &second});
  const auto client = sidecar.SendRequest(RequestTo("/once/twice/"));
  REQUIRE(sidecar.Until([&] { return Received(client, "\r\n\r\n"); }));
  CHECK(client->received.rfind("HTTP/1.1 502 ", 0) == 0);
  CHECK_FALSE(Received(client, "Retry-After"));
  CHECK(first.requests() + second.requests() == 1);
}

}  // namespace

TEST_CASE("MIXED: a response whose status is not in 100 to 599 is not forwarded") {
  CheckNothingIsForwarded(kInvalidStatus);
}

TEST_CASE("MIXED: a response whose status line is malformed is not forwarded") {
  CheckNothingIsForwarded(kMalformedStatusLine);
}

TEST_CASE("MIXED: a response in whose head a field is malformed is not forwarded") {
  CheckNothingIsForwarded(kMalformedField);
}

TEST_CASE("MIXED: a response with ambiguous framing or an unsupported transfer coding is not forwarded") {
  CheckNothingIsForwarded(kInvalidFraming);
}

TEST_CASE("MIXED: bytes after a switch of protocols that nobody requested are not forwarded") {
  CheckNothingIsForwarded(kUnrequestedUpgrade);
}

TEST_CASE("MIXED: an invalid response is a failed attempt: retried if idempotent, counted, and no promise") {
  const std::string response =
      GENERATE(Response("HTTP/1.1 000 OK"), Response("HTTP/1.1 999 OK", "X-Violetwing-Not-Executed: 1\r\n"),
               Response("HTTP/1.1 503 No", "X-Violetwing-Not-Executed: 1\r\nX Blank: 1\r\n"),
               Response("HTTP/1.1 503 No", "X-Violetwing-Not-Executed: 1\r\nTransfer-Encoding: gzip\r\n"));
  CheckCountsAsFailedAttempt(response);
  CheckIsNoPromise(response);
}

TEST_CASE("An unusual but valid response is forwarded") {
  const std::vector<std::string> responses{
      Response("HTTP/1.1 200 "),
      Response("HTTP/1.1 299 Unassigned"),
      Response("HTTP/1.1 599 \x80\xff"),
      Response("HTTP/1.1 418 I'm a teapot"),
      Response("HTTP/1.0 200 OK"),
      Response("HTTP/1.1 200 OK", "!#$%&'*+-.^_`|~09aZ: odd name\r\n"),
      Response("HTTP/1.1 200 OK", "X-Empty:\r\nX-High: \x80\xff\r\nX-Tab:\ta\tb\t\r\n"),
      Response("HTTP/1.1 200 OK", "X-Folded: a\r\n b\r\n"),
      Response("HTTP/1.1 200 OK", "Content-Length: 18, 18\r\n"),
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 Other\r\n\r\n" +
          Response("HTTP/1.1 200 OK"),
      ChunkedResponse("HTTP/1.1", "Transfer-Encoding: Chunked\r\n"),
      ChunkedResponse("HTTP/1.1", "Transfer-Encoding: , chunked ,\r\n"),
  };
  for (const std::string& response : responses) {
    CAPTURE(response);
    Sidecar sidecar;
    ScriptedServer server(sidecar.io, AlwaysRespond(response));
    sidecar.SetServers({&server});
    const auto client = sidecar.SendRequest(RequestTo("/once/"));
    REQUIRE(sidecar.Until([&] { return Received(client, kServerText); }));
    CHECK(Received(client, "X-Violetwing-Response-Signature: sig"));
    CHECK_FALSE(Received(client, "HTTP/1.1 502"));
  }
}

}  // namespace violetwing
