// Responses for tests of the programs that read some: such that are no HTTP responses though their syntax is
// valid, and unusual ones that are.
#ifndef VIOLETWING_TESTS_TESTING_UNUSUAL_RESPONSES_HPP_
#define VIOLETWING_TESTS_TESTING_UNUSUAL_RESPONSES_HPP_

#include <cstdio>
#include <string>
#include <vector>

namespace violetwing::testing {

/// A complete response with a Content-Length; `fields` end with CRLF.
inline std::string ResponseText(const std::string& status_line, const std::string& body,
                                const std::string& fields = "") {
  return status_line + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A complete response with status 200 in one chunk; `fields` has to name the transfer coding.
inline std::string ChunkedResponseText(const std::string& version, const std::string& fields,
                                       const std::string& body) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", body.size());
  return version + " 200 OK\r\n" + fields + "\r\n" + size + body + "\r\n0\r\n\r\n";
}

/// Messages with `body` that are no HTTP responses.
inline std::vector<std::string> InvalidResponses(const std::string& body) {
  return {ResponseText("HTTP/1.1 000 OK", body),
          ResponseText("HTTP/1.1 099 OK", body),
          ResponseText("HTTP/1.1 600 OK", body),
          ResponseText("HTTP/1.1 999 OK", body),
          ResponseText("HTTP/1.1 20 OK", body),
          ResponseText("HTTP/1.1 2000 OK", body),
          ResponseText("HTTP/1.1 +200 OK", body),
          ResponseText("HTTP/1.1 200x OK", body),
          ResponseText("HTTP/1.1 200", body),
          ResponseText("HTTP/1.1 200 OK", body, "X Blank: 1\r\n"),
          ResponseText("HTTP/1.1 200 OK", body, "X-Blank : 1\r\n"),
          ResponseText("HTTP/1.1 200 OK", body, "X\001Control: 1\r\n"),
          ResponseText("HTTP/1.1 200 OK", body, "Content-Length : 1\r\n"),
          ResponseText("HTTP/1.1 200 OK", body, "X-Bare: a\nX-Other: b\r\n"),
          ResponseText("HTTP/1.1 200 OK", body, "Content-Length: 1\r\n"),
          ResponseText("HTTP/1.1 200 OK", body, "Transfer-Encoding: gzip\r\n"),
          ChunkedResponseText("HTTP/1.1", "Transfer-Encoding: gzip, chunked\r\n", body),
          ChunkedResponseText("HTTP/1.0", "Transfer-Encoding: chunked\r\n", body),
          "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + ResponseText("HTTP/1.1 200 OK", body)};
}

/// Unusual HTTP responses with status 200 and `body`.
inline std::vector<std::string> UnusualResponses(const std::string& body) {
  return {ResponseText("HTTP/1.1 200 ", body),
          ResponseText("HTTP/1.0 200 OK", body),
          ResponseText("HTTP/1.1 200 \x80\xff", body),
          ResponseText("HTTP/1.1 200 OK", body,
                       "!#$%&'*+-.^_`|~09aZ: odd name\r\nX-Empty:\r\nX-High: \x80\xff\r\n"),
          ChunkedResponseText("HTTP/1.1", "Transfer-Encoding: , Chunked\r\n", body),
          "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 Other\r\n\r\n" +
              ResponseText("HTTP/1.1 200 OK", body)};
}

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_UNUSUAL_RESPONSES_HPP_
