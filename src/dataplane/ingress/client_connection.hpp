// HTTP/1.1 connections of clients. A request is read completely before it is handled, one after the other on
// a connection; responses are streamed.
#ifndef VIOLETWING_DATAPLANE_INGRESS_CLIENT_CONNECTION_HPP_
#define VIOLETWING_DATAPLANE_INGRESS_CLIENT_CONNECTION_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dataplane/http/http_text.hpp"

namespace violetwing {

/// A complete request of a client.
struct ClientRequest {
  std::string method;
  std::string target;
  std::string host;
  FieldList fields;  ///< end-to-end fields only
  std::string body;
  bool has_length = false;  ///< the client sent a body, possibly empty
  std::chrono::steady_clock::time_point arrived;
};

class Ingress;

/// Connection of one client. It owns itself until it is closed, and runs on the thread of the Ingress, which
/// must outlive it.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using Tcp = boost::asio::ip::tcp;

  /// An accepted socket.
  ClientConnection(Ingress& ingress, Tcp::socket socket);
  /// Begins to read requests.
  void Start();

  /// Begins the response to the current request; the second call for a request has no effect. Without a
  /// `length` the body is chunked, or ends with the connection for HTTP/1.0. `bodiless`: no body follows.
  void SendHead(int status, const std::string& reason, const FieldList& fields,
                std::optional<std::uint64_t> length, bool bodiless);
  /// Sends a part of the body.
  void SendData(std::string_view data);
  /// Completes the response.
  void Finish();
  /// Sends a complete response of the sidecar itself.
  void Answer(int status, const std::string& reason, const FieldList& fields, const std::string& body);
  /// Closes the connection, so that the response does not look complete.
  void Abort();
  /// Bytes of the response that are not yet written to the socket.
  std::size_t unsent() const { return pending_output_.size() + output_in_flight_.size(); }
  /// True once SendHead was called for the current request.
  bool head_sent() const { return head_sent_; }

  std::function<void()> on_disconnect;  ///< the client disconnected before the response was complete
  std::function<void()> on_drained;     ///< all bytes so far are written to the socket

  /// Closes it if no request is being read or answered.
  void CloseIfIdle();
  /// Closes it; calls `on_disconnect` if the response is not complete.
  void Close();

 private:
  using ErrorCode = boost::system::error_code;
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  enum class Phase { kIdle, kHead, kBody, kAnswering };

  void AwaitRequest();
  void ReadHead();
  void ReadBody();
  void OnRequest();
  void RejectAndClose(ErrorCode error);
  void WatchClient();
  void ArmTimeout(std::chrono::milliseconds time);
  void Write();
  void OnWritten(ErrorCode error);

  Ingress& ingress_;
  Tcp::socket socket_;
  boost::asio::steady_timer timeout_timer_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<Parser> parser_;
  FieldList fields_;  // end-to-end fields of the request's head: those of a trailer are not among them
  Phase phase_ = Phase::kIdle;
  std::string pending_output_;
  std::string output_in_flight_;
  bool head_sent_ = false;
  bool chunked_ = false;
  bool keep_alive_ = true;
  bool finished_ = false;
  bool closed_ = false;
  bool http10_client_ = false;  // HTTP/1.0: no chunks
  std::uint64_t request_number_ = 0;
};

using ClientPtr = std::shared_ptr<ClientConnection>;

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_INGRESS_CLIENT_CONNECTION_HPP_
