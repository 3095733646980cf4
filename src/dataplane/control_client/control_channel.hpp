// HTTP client for calls from a sidecar to one control process at a time, over a persistent connection:
// opening a connection for each call would cost both sides more than the call itself.
#ifndef VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_CHANNEL_HPP_
#define VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_CHANNEL_HPP_

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

/// Client of the control plane for idempotent calls. Must be used on the thread of `io` only.
class ControlChannel {
 public:
  /// Address of a control process.
  using Endpoint = boost::asio::ip::tcp::endpoint;
  /// Receives the HTTP status and body of the response; `status` is 0 if no complete response arrived.
  using Callback = std::function<void(int status, const std::string& body)>;

  /// A call fails after `progress_timeout` without progress, and after twice that time in any case.
  ControlChannel(boost::asio::io_context& io, std::chrono::milliseconds progress_timeout)
      : io_(io), progress_timeout_(progress_timeout) {}
  /// Cancels the call in flight.
  ~ControlChannel() { Stop(); }
  ControlChannel(const ControlChannel&) = delete;
  ControlChannel& operator=(const ControlChannel&) = delete;

  /// Starts a call; there must be none in flight. If the persistent connection turns out to be closed, the
  /// call is retried once on a new one.
  void Post(const Endpoint& to, const std::string& target, std::string body, Callback callback);
  /// True while a call is in flight.
  bool busy() const { return call_ != nullptr; }
  /// Cancels the call in flight: its callback is not called.
  void Stop();

 private:
  using ErrorCode = boost::system::error_code;
  struct Connection {
    explicit Connection(boost::asio::io_context& io) : stream(io) {}
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
  };
  struct Call {
    boost::beast::http::request<boost::beast::http::string_body> request;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser;
    std::shared_ptr<Connection> connection;
    std::chrono::steady_clock::time_point deadline;
    bool reused = false;
    bool finished = false;
    Callback callback;
  };
  using CallPtr = std::shared_ptr<Call>;

  void Connect(const CallPtr& call);
  void Write(const CallPtr& call);
  void ReadHead(const CallPtr& call);
  void OnHead(const CallPtr& call);
  void ReadBody(const CallPtr& call);
  void ArmTimeout(const Call& call) const;
  // Handles a broken connection: retries once on a new connection if a reused one broke before any response.
  void RetryOrFail(const CallPtr& call);
  void Finish(const CallPtr& call, int status, const std::string& body);

  boost::asio::io_context& io_;
  const std::chrono::milliseconds progress_timeout_;
  Endpoint peer_;
  std::shared_ptr<Connection> idle_connection_;  // to `peer_`
  CallPtr call_;                                 // in flight
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_CHANNEL_HPP_
