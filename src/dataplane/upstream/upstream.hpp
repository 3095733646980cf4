// Connections to servers and the exchange of one request and its answer on one of them.
#ifndef VIOLETWING_DATAPLANE_UPSTREAM_UPSTREAM_HPP_
#define VIOLETWING_DATAPLANE_UPSTREAM_UPSTREAM_HPP_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "dataplane/http/http_text.hpp"

namespace violetwing {

// The head of a server's answer.
struct AnswerHead {
  int status = 0;
  std::string reason;
  FieldList fields;  // end to end
  std::optional<std::uint64_t> length;
  bool chunked = false;
  bool bodiless = false;  // by its status or the request's method
};

enum class ExchangeEnd {
  kComplete,     // the whole answer has come
  kUnreachable,  // no connection came up: nothing was sent
  kReset,        // reset or closed, or what came is no answer to this request
};

class UpstreamPool;

class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange> {
 public:
  struct Request {
    std::string instance;  // the id of the server's start
    std::string address;   // host:port
    std::string request_id;
    std::string text;        // head and body
    bool head_only = false;  // of method HEAD
  };
  struct Events {
    std::function<void(const AnswerHead&)> on_head;
    std::function<void(std::string_view piece)> on_data;
    std::function<void(ExchangeEnd)> on_end;  // once; nothing after it
  };

  // Closes the connection; nothing is told from now on.
  void Cancel();
  // Stops reading until Resume: the client takes no more for now.
  void Pause() { paused_ = true; }
  void Resume();
  bool sent() const { return sent_; }  // at least a part of it may have reached the server

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
  boost::asio::steady_timer connect_limit_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<Parser> parser_;
  std::array<char, 16384> piece_;
  AnswerHead head_;
  bool sent_ = false;
  bool written_ = false;
  bool over_ = false;
  bool paused_ = false;
  bool reading_ = false;
  bool reused_ = false;
};

// Idle connections by server, and what makes new ones.
class UpstreamPool {
 public:
  explicit UpstreamPool(boost::asio::io_context& io) : io_(io) {}

  std::shared_ptr<UpstreamExchange> Start(UpstreamExchange::Request request, UpstreamExchange::Events events);
  // Closes the idle connections of servers of which `alive` is false.
  void Keep(const std::function<bool(const std::string& instance)>& alive);
  void CloseAll();
  // Whether an idle connection to the server is kept, as far as is known without a look at it.
  bool HasIdle(const std::string& instance) const { return idle_.count(instance) > 0; }
  boost::asio::io_context& io() { return io_; }

 private:
  friend class UpstreamExchange;
  using Tcp = boost::asio::ip::tcp;
  struct Idle {
    std::shared_ptr<Tcp::socket> socket;
    std::chrono::steady_clock::time_point until;
  };

  std::shared_ptr<Tcp::socket> Take(const std::string& instance);
  void Put(const std::string& instance, std::shared_ptr<Tcp::socket> socket, std::chrono::milliseconds idle);
  void Watch(const std::string& instance, const std::shared_ptr<Tcp::socket>& socket);

  boost::asio::io_context& io_;
  std::map<std::string, std::deque<Idle>> idle_;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_UPSTREAM_UPSTREAM_HPP_
