// What counts as an HTTP response to a request (RFC 9110, RFC 9112).
#include "common/http_response.hpp"

#include <catch2/catch.hpp>
#include <string>

namespace violetwing {
namespace {

namespace http = boost::beast::http;

http::response_header<> Head(unsigned status, unsigned version = 11) {
  http::response_header<> head;
  head.result(status);
  head.version(version);
  return head;
}

boost::system::error_code CheckTransferCoding(const std::string& value, unsigned version = 11) {
  http::response_header<> head = Head(200, version);
  head.set(http::field::transfer_encoding, value);
  return CheckResponseHead(head);
}

}  // namespace

TEST_CASE("A response has a status from 100 to 599, registered or not, but not 101") {
  for (unsigned status = 0; status <= 999; ++status) {
    CAPTURE(status);
    const boost::system::error_code error = CheckResponseHead(Head(status));
    if (status < 100 || status > 599)
      CHECK(error == ResponseErrc::kStatusOutOfRange);
    else if (status == 101)
      CHECK(error == ResponseErrc::kUnrequestedUpgrade);
    else
      CHECK_FALSE(error);
  }
}

TEST_CASE("A response has no transfer coding, or chunked alone in HTTP/1.1") {
  for (const std::string value : {"chunked", "CHUNKED", ", chunked ,"}) {
    CAPTURE(value);
    CHECK_FALSE(CheckTransferCoding(value));
    CHECK(CheckTransferCoding(value, 10) == ResponseErrc::kUnsupportedTransferCoding);
  }
  for (const std::string value : {"", ",", "gzip", "identity", "gzip, chunked", "chunked, gzip",
                                  "chunked, chunked", "chunked;q=1", "\"chunked\"", "chunked x"}) {
    CAPTURE(value);
    CHECK(CheckTransferCoding(value) == ResponseErrc::kUnsupportedTransferCoding);
  }
  http::response_header<> twice = Head(200);
  twice.insert(http::field::transfer_encoding, "gzip");
  twice.insert(http::field::transfer_encoding, "chunked");
  CHECK(CheckResponseHead(twice) == ResponseErrc::kUnsupportedTransferCoding);
}

TEST_CASE("Interim responses are those with a status below 200") {
  CHECK(IsInterimResponse(Head(100)));
  CHECK(IsInterimResponse(Head(199)));
  CHECK_FALSE(IsInterimResponse(Head(200)));
}

}  // namespace violetwing
