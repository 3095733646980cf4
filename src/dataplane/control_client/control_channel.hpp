// Calls of a sidecar to one control process at a time, over a connection that is kept from call to call: a
// new one for each would cost both sides more than the call itself.
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

class ControlChannel {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  // `status` is 0 if there was no whole answer.
  using Done = std::function<void(int status, const std::string& body)>;

  // `silence`: a call without progress for so long has failed. No call lasts longer than twice that.
  ControlChannel(boost::asio::io_context& io, std::chrono::milliseconds silence)
      : io_(io), silence_(silence) {}
  ~ControlChannel() { Stop(); }
  ControlChannel(const ControlChannel&) = delete;
  ControlChannel& operator=(const ControlChannel&) = delete;

  // One call at a time. A kept connection that turns out to be closed is replaced, once, as calls of sidecars
  // may be repeated.
  void Post(const Endpoint& to, const std::string& target, std::string body, Done done);
  bool busy() const { return call_ != nullptr; }
  // Nothing is told from now on.
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
    bool over = false;
    Done done;
  };
  using CallPtr = std::shared_ptr<Call>;

  void Connect(const CallPtr& call);
  void Write(const CallPtr& call);
  void Read(const CallPtr& call);
  void LimitTime(const Call& call) const;
  // The call's connection is of no more use.
  void Fail(const CallPtr& call);
  void End(const CallPtr& call, int status, const std::string& body);

  boost::asio::io_context& io_;
  const std::chrono::milliseconds silence_;
  Endpoint peer_;
  std::shared_ptr<Connection> kept_;  // to `peer_`, without a call
  CallPtr call_;                      // under way
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_CONTROL_CLIENT_CONTROL_CHANNEL_HPP_
