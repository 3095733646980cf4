// Asynchronous HTTP/1.1 calls between the project's own programs: one call a connection, the body of the
// answer delivered line by line.
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

/// Parses an IPv4 address with a port, "127.0.0.1:80". Empty if the text is anything else, or the port is 0.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(const std::string& text);
/// The reverse of ParseEndpoint.
std::string ToText(const boost::asio::ip::tcp::endpoint& endpoint);

/// One call and its answer. Lives as long as its operations are pending; all callbacks come from the loop of
/// the io_context that it was started with.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  /// What is called.
  struct Call {
    Endpoint to;
    std::string method = "GET";
    std::string target;
    std::string body;
    std::chrono::microseconds idle_timeout{1'000'000};  // without progress for so long, the call fails
    std::size_t max_line_bytes = std::size_t{64} * 1024 * 1024;
  };
  /// Where the answer goes.
  struct Events {
    /// Each line of the body that is not blank, whatever the status.
    std::function<void(const std::string& line)> on_line;
    /// Once, unless Stop comes first. `status` is 0 if no head came; `error` is empty if the answer is
    /// complete.
    std::function<void(int status, const std::string& error)> on_end;
  };

  /// Begins to connect; `events` are called from `io`.
  static std::shared_ptr<HttpExchange> Start(boost::asio::io_context& io, Call call, Events events);
  /// Closes the connection; no callback comes from now on.
  void Stop();

 private:
  using ErrorCode = boost::system::error_code;

  HttpExchange(boost::asio::io_context& io, Call call, Events events);
  void Connect();
  void SendRequest();
  void ReadHeader();
  void ReadBody();
  void OnBodyChunk();
  void Finish(const std::string& error);

  const Call call_;
  Events events_;
  bool finished_ = false;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request<boost::beast::http::string_body> request_;
  boost::beast::http::response_parser<boost::beast::http::buffer_body> parser_;
  std::array<char, 8192> chunk_{};
  std::string line_;
  int status_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_HTTP_CLIENT_HPP_
