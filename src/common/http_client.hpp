// Asynchronous HTTP/1.1 client for calls between the project's own programs: one call per connection, with
// the response body delivered line by line.
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

/// Parses an IPv4 address with a port, such as "127.0.0.1:80". Empty for any other text, and for port 0.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& text);
/// Formats an endpoint as ParseEndpoint reads it.
std::string ToText(const boost::asio::ip::tcp::endpoint& endpoint);

/// One call and its response. Keeps itself alive while operations are pending. All callbacks run on the
/// io_context that it was started with.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  /// The request to send, and limits on the response.
  struct Call {
    Endpoint to;
    std::string method = "GET";
    std::string target;
    std::string body;
    std::chrono::microseconds idle_timeout{1'000'000};  // the call fails after this time without progress
    std::size_t max_line_bytes = std::size_t{64} * 1024 * 1024;
  };
  /// Callbacks for the response.
  struct Events {
    /// Called with each line of the body that is not blank, for any status.
    std::function<void(const std::string& line)> on_line;
    /// Called once, unless Stop is called first. `status` is 0 if no response header arrived, or one that
    /// CheckResponseHead refuses. `error` is empty if the response is complete.
    std::function<void(int status, const std::string& error)> on_end;
  };

  /// Starts a call on `io`.
  static std::shared_ptr<HttpExchange> Start(boost::asio::io_context& io, Call call, Events events);
  /// Closes the connection. No callback is called after this.
  void Stop();

 private:
  using ErrorCode = boost::system::error_code;

  HttpExchange(boost::asio::io_context& io, Call call, Events events);
  void Connect();
  void SendRequest();
  void ReadHeader();
  void OnHeader(ErrorCode error);
  void ReadBody();
  void OnBodyChunk();
  void Finish(const std::string& error);

  const Call call_;
  Events events_;
  bool finished_ = false;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request<boost::beast::http::string_body> request_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser_;
  std::array<char, 8192> chunk_{};
  std::string line_;
  int status_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_HTTP_CLIENT_HPP_
