#include "cli/http_call.hpp"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <limits>
#include <optional>
#include <stdexcept>

#include "common/http_client.hpp"
#include "common/http_response.hpp"

namespace violetwing::cli {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

constexpr std::chrono::seconds kPatience(10);
constexpr std::uint64_t kMostAnswer = std::uint64_t{64} * 1024 * 1024;

asio::ip::tcp::endpoint Address(const std::string& text) {
  const auto address = ParseEndpoint(text);
  if (!address) throw std::runtime_error("'" + text + "': no address with a port");
  return *address;
}

// A connection whose waits end after the patience: Beast's time-outs work on asynchronous calls alone.
class Connection {
 public:
  explicit Connection(const std::string& at) : at_(at), stream_(io_) {
    stream_.expires_after(kPatience);
    stream_.async_connect(Address(at), [this](ErrorCode error) { error_ = error; });
    Run();
  }

  void Send(const std::string& method, const std::string& target, const std::string& body) {
    http::request<http::string_body> request(http::string_to_verb(method), target, 11);
    request.set(http::field::host, at_);
    request.body() = body;
    request.keep_alive(false);
    request.prepare_payload();
    stream_.expires_after(kPatience);
    http::async_write(stream_, request, [this](ErrorCode error, std::size_t) { error_ = error; });
    Run();
  }

  // Reads the head of the final response into a new parser.
  template <class Body>
  void ReadHead(std::optional<http::response_parser<Body>>& parser, std::uint64_t body_limit) {
    do {
      parser.emplace();
      parser->body_limit(body_limit);
      stream_.expires_after(kPatience);
      http::async_read_header(stream_, buffer_, *parser, [this, &parser](ErrorCode error, std::size_t) {
        error_ = error ? error : CheckResponseHead(parser->get());
      });
      Run();
    } while (IsInterimResponse(parser->get()));
  }

  HttpAnswer Read() {
    std::optional<http::response_parser<http::string_body>> parser;
    ReadHead(parser, kMostAnswer);
    stream_.expires_after(kPatience);
    http::async_read(stream_, buffer_, *parser, [this](ErrorCode error, std::size_t) { error_ = error; });
    Run();
    return {static_cast<int>(parser->get().result_int()), parser->get().body()};
  }

  // The next piece of a long answer; nothing at its end.
  std::optional<std::string> ReadPiece(http::response_parser<http::buffer_body>& parser) {
    if (parser.is_done()) return std::nullopt;
    std::array<char, 8192> piece{};
    parser.get().body().data = piece.data();
    parser.get().body().size = piece.size();
    parser.get().body().more = true;
    stream_.expires_after(kPatience);
    http::async_read_some(stream_, buffer_, parser, [this](ErrorCode error, std::size_t) { error_ = error; });
    io_.restart();
    io_.run();
    if (error_ == http::error::need_buffer) error_ = {};
    if (error_ == http::error::end_of_stream || error_ == http::error::partial_message) return std::nullopt;
    if (error_) throw Unreachable(at_ + ": " + error_.message());
    return std::string(piece.data(), piece.size() - parser.get().body().size);
  }

 private:
  void Run() {
    io_.restart();
    io_.run();
    if (error_) throw Unreachable(at_ + ": " + error_.message());
  }

  std::string at_;
  asio::io_context io_{1};
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  ErrorCode error_;
};

}  // namespace

HttpAnswer Call(const std::string& at, const std::string& method, const std::string& target,
                const std::string& body) {
  Connection connection(at);
  connection.Send(method, target, body);
  return connection.Read();
}

void Follow(const std::string& at, const std::string& target,
            const std::function<bool(const std::string&)>& take) {
  Connection connection(at);
  connection.Send("GET", target, "");
  std::optional<http::response_parser<http::buffer_body>> parser;
  connection.ReadHead(parser, std::numeric_limits<std::uint64_t>::max());
  if (parser->get().result() != http::status::ok)
    throw Unreachable(at + ": answered with " + std::to_string(parser->get().result_int()));
  std::string line;
  while (const auto piece = connection.ReadPiece(*parser)) {
    line += *piece;
    for (std::size_t end = line.find('\n'); end != std::string::npos; end = line.find('\n')) {
      if (!take(line.substr(0, end))) return;
      line.erase(0, end + 1);
    }
  }
}

}  // namespace violetwing::cli
