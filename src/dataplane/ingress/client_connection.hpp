// HTTP/1.1 server side of client connections. The requests of a connection are handled one at a time; each is
// read completely first. Responses are streamed. What a connection holds counts for the budget of its
// listener.
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

#include "common/connection_budget.hpp"
#include "dataplane/http/http_text.hpp"

namespace violetwing {

/// A complete request of a client.
struct ClientRequest {
  std::string method;
  std::string target;
  std::string host;
  FieldList fields;  ///< end-to-end fields only
  std::string body;
  bool has_length = false;  ///< the request has Content-Length or is chunked: it has a body, possibly empty
  std::chrono::steady_clock::time_point arrived;
};

class Ingress;

/// Connection of one client. Keeps itself alive until it is closed. Runs on the thread of the Ingress, which
/// must outlive it.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using Tcp = boost::asio::ip::tcp;

  /// `socket`: an accepted connection.
  ClientConnection(Ingress& ingress, Tcp::socket socket);
  /// Starts reading requests.
  void Start();

  /// Starts the response to the current request; further calls for the same request have no effect. Without a
  /// `length` the body is chunked, or for HTTP/1.0 delimited by closing the connection. `bodiless`: no body
  /// follows.
  void SendHead(int status, const std::string& reason, const FieldList& fields,
                std::optional<std::uint64_t> length, bool bodiless);
  /// Sends a part of the body.
  void SendData(std::string_view data);
  /// Completes the response.
  void Finish();
  /// Sends a complete response that the sidecar itself generates.
  void Answer(int status, const std::string& reason, const FieldList& fields, const std::string& body);
  /// Closes the connection, so that the client does not take the response as complete. Skips `on_disconnect`.
  void Abort();
  /// True if the response should not be continued before the next `on_drained`: too much of it is unsent, for
  /// this client or for what all clients may hold together.
  bool output_full() const;
  /// True once SendHead was called for the current request.
  bool head_sent() const { return head_sent_; }

  std::function<void()> on_disconnect;  ///< the client disconnected before the response was complete
  std::function<void()> on_drained;     ///< all bytes so far were written to the socket

  /// Closes the connection if no request is being read or answered.
  void CloseIfIdle();
  /// Closes the connection; calls `on_disconnect` if a response is not complete.
  void Close();

 private:
  using ErrorCode = boost::system::error_code;
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  // kLingering: the last response is written, and the client has not closed its side yet.
  enum class Phase { kIdle, kHead, kBody, kResponding, kLingering };

  void AwaitRequest();
  void ReadHead();
  void ReadMore();
  void OnInput(ErrorCode error, std::size_t size);
  // Parses what has been read, and goes on reading until the request is complete.
  void Parse();
  void OnHeadComplete();
  void OnRequest();
  void Reject(ErrorCode error);
  // Rejects a request for which there is no memory. Guarantees that it was not executed.
  void RejectOverloaded();
  void RejectWith(int status, const std::string& reason, const FieldList& fields);
  void GiveWay(Eviction eviction);
  // Sets the bytes that this connection holds. False if there is no room for them.
  bool Hold(std::size_t bytes);
  void HoldOutput();
  void ReleaseBuffers();
  void WatchForDisconnect();
  void ArmTimeout(std::chrono::milliseconds timeout);
  void Write();
  void OnWritten(ErrorCode error);
  // Closes the connection after a complete response. What the client still sends is read and discarded, as
  // closing a socket with unread bytes resets the connection and may destroy the end of the response.
  void CloseGracefully();
  void DiscardInput();

  Ingress& ingress_;
  Tcp::socket socket_;
  boost::asio::steady_timer timeout_timer_;
  ConnectionClaim claim_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<Parser> parser_;
  std::size_t head_bytes_ = 0;     // that the head of the current request holds
  std::size_t request_bytes_ = 0;  // that the current request holds, without its response
  bool output_held_ = true;        // false: there was no room for the unsent output
  FieldList fields_;  // end-to-end fields of the request's header section; excludes those of its trailer
  Phase phase_ = Phase::kIdle;
  std::string pending_output_;
  std::string output_in_flight_;
  std::string discarded_;  // input while lingering; apart from buffer_, which a read may still use
  bool head_sent_ = false;
  bool chunked_ = false;
  bool keep_alive_ = true;
  bool finished_ = false;
  bool closed_ = false;
  bool http10_client_ = false;  // HTTP/1.0, which has no chunked encoding
  std::uint64_t request_number_ = 0;
};

using ClientPtr = std::shared_ptr<ClientConnection>;

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_INGRESS_CLIENT_CONNECTION_HPP_
