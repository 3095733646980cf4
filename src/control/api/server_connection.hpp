// HTTP/1.1 server side of one connection to a control process, over libevent and Boost.Beast's parser. Its
// requests are handled one at a time. What it holds counts for the budget of its listener.
#ifndef VIOLETWING_CONTROL_API_SERVER_CONNECTION_HPP_
#define VIOLETWING_CONTROL_API_SERVER_CONNECTION_HPP_

#include <event2/bufferevent.h>
#include <event2/event.h>

#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "common/connection_budget.hpp"
#include "control/api/messages.hpp"
#include "control/api/socket_buffer_event.hpp"

namespace violetwing::http {

/// What connections share with their server, which must outlive them.
struct ServerContext {
  event_base* base = nullptr;
  ConnectionBudget* budget = nullptr;
  std::function<BodyRule(const std::string& method, const std::string& path)> body_rule;
  std::function<void(Request, Responder)> handler;
  std::shared_ptr<std::size_t> unanswered;  ///< requests without a response yet
};

/// Runs on the event loop of the server. It is owned by the server, which releases it when it has closed.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using OnClosed = std::function<void(const std::shared_ptr<ServerConnection>&)>;

  /// `socket`: an accepted connection, which is closed with this object. `on_closed` is called once.
  ServerConnection(const ServerContext& server, evutil_socket_t socket, OnClosed on_closed);
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;
  ~ServerConnection() = default;

  /// Begins to read requests.
  void Start();
  /// Closes the connection.
  void Close();

 private:
  // kLingering: the last response is written, and the peer has not closed its side yet.
  enum class Phase { kIdle, kReading, kServing, kWriting, kLingering };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  using ErrorCode = boost::system::error_code;
  struct EventDeleter {
    void operator()(event* owned) const { event_free(owned); }
  };

  void Enter(Phase phase, ConnectionPhase claim_phase, std::chrono::milliseconds timeout);
  bool Hold(std::size_t bytes);
  void GiveWay(Eviction eviction);

  void AwaitRequest();
  void OnReadable();
  void Parse();
  // Parses what has been read. Returns the error with which the request has to be rejected, if any.
  ErrorCode ParseInput();
  // Checks the announced body. Returns an error as ParseInput.
  ErrorCode OnHead();
  void Dispatch();
  void Respond(std::uint64_t request_number, Response response);
  void Reject(ErrorCode error);
  void RejectWith(int status);
  void Write(Response response);
  void OnWritten();
  void Linger();

  const ServerContext& server_;
  OnClosed on_closed_;
  SocketBufferEvent socket_;
  std::unique_ptr<event, EventDeleter> timeout_;
  ConnectionClaim claim_;
  std::optional<Parser> parser_;
  bool head_complete_ = false;
  BodyRule body_rule_;
  Phase phase_ = Phase::kIdle;
  std::uint64_t request_number_ = 0;
  bool keep_alive_ = true;
};

}  // namespace violetwing::http

#endif  // VIOLETWING_CONTROL_API_SERVER_CONNECTION_HPP_
