// Asynchronous calls between the project's own parts: HTTP/1.1, one call a connection, answers by the line.
#ifndef VIOLETWING_COMMON_HTTP_CLIENT_HPP_
#define VIOLETWING_COMMON_HTTP_CLIENT_HPP_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace violetwing {

// "127.0.0.1:80"; empty if it is anything else.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& text);
std::string ToText(const boost::asio::ip::tcp::endpoint& endpoint);

class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  struct Call {
    Endpoint to;
    std::string method = "GET";
    std::string target;
    std::string body;
    std::chrono::microseconds silence{1'000'000};  // without progress for so long, it is over
    std::size_t most_line = std::size_t{64} * 1024 * 1024;
  };
  struct Events {
    std::function<void(const std::string& line)> on_line;  // of an answer with any status; not the empty ones
    // Once, unless it is stopped first. `status` is 0 if there was no answer, and `why` empty if it came
    // whole.
    std::function<void(int status, const std::string& why)> on_end;
  };

  static std::shared_ptr<HttpExchange> Start(boost::asio::io_context& io, Call call, Events events);
  void Stop();  // nothing is told from now on

 private:
  using ErrorCode = boost::system::error_code;

  HttpExchange(boost::asio::io_context& io, Call call, Events events);
  void Connect();
  void Ask();
  void ReadHeader();
  void ReadBody();
  void TakePiece();
  void End(const std::string& why);

  const Call call_;
  Events events_;
  bool over_ = false;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request<boost::beast::http::string_body> request_;
  boost::beast::http::response_parser<boost::beast::http::buffer_body> parser_;
  std::array<char, 8192> piece_{};
  std::string line_;
  int status_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_HTTP_CLIENT_HPP_
