// What counts as an HTTP response to a request (RFC 9110, RFC 9112).
#include "common/http_response.hpp"

#include <catch2/catch.hpp>

namespace violetwing {
namespace {

namespace http = boost::beast::http;

http::response_header<> Head(unsigned status, unsigned version = 11) {
  http::response_header<> head;
  head.result(status);
  head.version(version);
  return head;
}

}  // namespace

TEST_CASE("A response has a status from 100 to 599, registered or not") {
  for (unsigned status = 0; status <= 999; ++status) {
    CAPTURE(status);
    const boost::system::error_code error = CheckResponseHead(Head(status));
    if (status < 100 || status > 599)
      CHECK(error == ResponseErrc::kStatusOutOfRange);
    else
      CHECK_FALSE(error);
  }
}

TEST_CASE("Interim responses are those with a status below 200") {
  CHECK(IsInterimResponse(Head(100)));
  CHECK(IsInterimResponse(Head(199)));
  CHECK_FALSE(IsInterimResponse(Head(200)));
}

}  // namespace violetwing
