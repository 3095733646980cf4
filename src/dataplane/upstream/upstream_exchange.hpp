// HTTP/1.1 client side of one request and its response on a connection to a server.
#ifndef VIOLETWING_DATAPLANE_UPSTREAM_UPSTREAM_EXCHANGE_HPP_
#define VIOLETWING_DATAPLANE_UPSTREAM_UPSTREAM_EXCHANGE_HPP_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dataplane/http/http_text.hpp"

namespace violetwing {

/// Head of a server's response.
struct ResponseHead {
  int status = 0;
  std::string reason;
  FieldList fields;                     ///< end-to-end fields only
  std::optional<std::uint64_t> length;  ///< Content-Length
  bool chunked = false;
  bool bodiless = false;  ///< no body follows, due to the status or the request's method
};

/// How an exchange ended.
enum class ExchangeEnd {
  kComplete,     ///< the complete response arrived
  kUnreachable,  ///< no connection was established; nothing was sent
  kNotAllowed,   ///< `may_send` returned false after connecting; nothing was sent
  kReset,        ///< reset, closed early, or no valid response to this request
};

class UpstreamPool;

/// One request and its response. Created by UpstreamPool::Start. Keeps itself alive until it ends. Runs on
/// the thread of the pool's io_context.
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange> {
 public:
  /// The request to send.
  struct Request {
    std::string instance;  ///< instance id; an idle connection is reused only for the same instance
    std::string address;   ///< "host:port"
    std::string request_id;
    std::string head;                         ///< serialized, with the empty line that ends it
    std::shared_ptr<const std::string> body;  ///< not copied, as several attempts share it; null for none
    bool head_only = false;                   ///< the method is HEAD: the response has no body
    /// Called once, right before the first byte is written; if it returns false, the exchange
    /// ends with kNotAllowed. Empty: always send.
    std::function<bool()> may_send;
  };
  /// Callbacks, in the order on_head (at most once), on_data (any number), on_end (exactly once unless
  /// cancelled).
  struct Events {
    std::function<void(const ResponseHead&)> on_head;
    std::function<void(std::string_view data)> on_data;
    std::function<void(ExchangeEnd)> on_end;
  };

  /// Closes the connection. No callback is called after this.
  void Cancel();
  /// Stops reading until Resume (backpressure).
  void Pause() { paused_ = true; }
  /// Resumes reading after Pause; has no effect otherwise.
  void Resume();
  /// True if part of the request may have reached the server.
  bool sent() const { return sent_; }

 private:
  friend class UpstreamPool;
  using Tcp = boost::asio::ip::tcp;
  using ErrorCode = boost::system::error_code;
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  UpstreamExchange(UpstreamPool& pool, Request request, Events events);
  void Start(std::shared_ptr<Tcp::socket> reused);
  void Connect();
  void Write();
  void ReadHead();
  void OnHead(ErrorCode error);
  void ReadBody();
  void OnBody(ErrorCode error);
  void Finish(ExchangeEnd end);

  UpstreamPool& pool_;
  const Request request_;
  Events events_;
  std::shared_ptr<Tcp::socket> socket_;
  boost::asio::steady_timer connect_timer_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<Parser> parser_;
  std::array<char, 16384> chunk_;
  ResponseHead head_;
  bool sent_ = false;
  bool request_written_ = false;
  bool finished_ = false;
  bool paused_ = false;
  bool reading_ = false;
  bool reused_ = false;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_UPSTREAM_UPSTREAM_EXCHANGE_HPP_
