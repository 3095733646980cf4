// The side of the sidecar that faces the application: accepts its connections, reads requests and writes
// responses.
#ifndef VIOLETWING_SIDECAR_INBOUND_HPP_
#define VIOLETWING_SIDECAR_INBOUND_HPP_

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "sidecar/body.hpp"
#include "sidecar/protocol.hpp"

namespace violetwing::sidecar {

/// The HTTP server for the application's requests. Runs on one event loop; not thread-safe.
class Inbound {
 public:
  /// One client connection, with at most one request in flight; pipelined requests wait in its buffer.
  class Session;
  using SessionPtr = std::shared_ptr<Session>;

  struct Events {
    /// A request to be answered by one call of Respond, inside the callback or later. A long body may still
    /// be arriving. `waited`: microseconds that a pipelined request spent, since its last byte arrived,
    /// behind the requests before it.
    std::function<void(const SessionPtr&, RequestHead, BodyPtr, Micros waited)> on_request;
    std::function<void(const SessionPtr&)> on_client_disconnected;  ///< during its request
    std::function<bool()> ready;  ///< whether GET /ready is answered with 200
  };

  /// Takes ownership of a listening socket. Accepts at most `max_sessions` connections at a time, and none
  /// before Accept is called.
  Inbound(asio::io_context& io, Tcp::acceptor listener, std::size_t max_sessions,
          std::shared_ptr<BufferBudget> budget, Events events);
  ~Inbound();
  Inbound(const Inbound&) = delete;
  Inbound& operator=(const Inbound&) = delete;

  /// Answers the session's request and calls `done` with whether the complete response was written. Does
  /// nothing if the client has disconnected. If the body fails, closes the connection in a way that shows the
  /// client that the response is incomplete.
  static void Respond(const SessionPtr& session, ResponseHead head, BodyPtr body,
                      std::function<void(bool complete)> done);
  static void Respond(const SessionPtr& session, HttpResponse response);

  /// Starts accepting connections, or resumes if there is capacity again.
  void Accept();
  /// From now on each response closes its connection.
  void CloseAfterResponses();
  /// Accepts the connections in the listen queue, then closes the listener. If file descriptors run out,
  /// accepts the rest as descriptors become available.
  void StopAccepting();
  /// Closes this process's copy of the listener without accepting the queued connections: another process
  /// shares the listener and accepts them.
  void CloseListener();
  /// Closes the connections that have no request in progress.
  void CloseIdle();

  /// Whether a connection is open, or may still be accepted.
  bool holds_connections() const { return !sessions_.empty() || acceptor_.is_open(); }
  Tcp::endpoint address() const { return address_; }

 private:
  void OnAccepted(ErrorCode error, Tcp::socket socket);
  void Add(Tcp::socket socket);
  void OnOutOfDescriptors();
  void ResumeAcceptingAfter(std::chrono::steady_clock::duration time);
  void CloseOneIdle();
  void OnSessionIdle();
  void Remove(const Session& session);

  asio::io_context& io_;
  const std::size_t max_sessions_;
  const std::shared_ptr<BufferBudget> budget_;
  const Events events_;
  Tcp::acceptor acceptor_;
  Tcp::endpoint address_;
  asio::steady_timer accept_timer_;
  bool accepting_ = false;
  bool stopping_ = false;  // accept the queued connections, then close the listener
  bool draining_ = false;
  bool out_of_descriptors_ = false;  // the last accept failed; cleared on the next try
  std::list<SessionPtr> sessions_;   // ordered by the time of the last response, oldest first
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_INBOUND_HPP_
