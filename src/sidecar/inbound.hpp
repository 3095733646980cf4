// The application's side: accepts its connections, reads requests, writes answers.
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

class Inbound {
 public:
  // One connection of the application, with at most one request at a time.
  class Session;
  using SessionPtr = std::shared_ptr<Session>;

  struct Events {
    // The request is answered by one call of Respond, from in here or later. A long body is still coming. One
    // that came behind others has waited so long for them since its last byte.
    std::function<void(const SessionPtr&, RequestHead, BodyPtr, Micros waited)> on_request;
    std::function<void(const SessionPtr&)> on_client_disconnected;  // the client left during its request
    std::function<bool()> ready;
  };

  // Takes over a listener, and accepts once it is told to.
  Inbound(asio::io_context& io, Tcp::acceptor listener, std::size_t most_sessions,
          std::shared_ptr<BufferBudget> budget, Events events);
  ~Inbound();
  Inbound(const Inbound&) = delete;
  Inbound& operator=(const Inbound&) = delete;

  // Answers the session's request, and tells whether the answer went out whole. Does nothing if the client
  // has gone. A body that breaks ends the connection so that the client can tell.
  static void Respond(const SessionPtr& session, ResponseHead head, BodyPtr body,
                      std::function<void(bool whole)> done);
  static void Respond(const SessionPtr& session, HttpResponse response);

  void Accept();
  // From now on each answer closes its connection.
  void CloseAfterResponses();
  // Accepts what has connected already, then no more; as descriptors come free, if there are too few.
  void StopAccepting();
  // Accepts no more: the queue is another process's, which has the same listener.
  void CloseListener();
  // Closes the connections that are between requests.
  void CloseIdle();

  // Whether there is a connection, or one may still be accepted.
  bool holds_connections() const { return !sessions_.empty() || acceptor_.is_open(); }
  Tcp::endpoint address() const { return address_; }

 private:
  void OnAccepted(ErrorCode error, Tcp::socket socket);
  void Add(Tcp::socket socket);
  void AcceptLater();
  void ResumeAfter(std::chrono::steady_clock::duration time);
  void RetireIdle();
  void OnIdle();
  void Remove(const Session& session);

  asio::io_context& io_;
  const std::size_t most_sessions_;
  const std::shared_ptr<BufferBudget> budget_;
  const Events events_;
  Tcp::acceptor acceptor_;
  Tcp::endpoint address_;
  asio::steady_timer pause_;
  bool accepting_ = false;
  bool stopping_ = false;  // to accept: what waits already is still taken
  bool draining_ = false;
  bool short_of_descriptors_ = false;  // the last accept failed for want of one, and none was tried since
  std::list<SessionPtr> sessions_;     // the one whose last answer is oldest first
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_INBOUND_HPP_
