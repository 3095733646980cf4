// HTTP for the control processes over libevent's evhttp: a server whose handlers may answer later, and a
// client that keeps one connection to each address.
#ifndef VIOLETWING_CONTROL_API_HTTP_HPP_
#define VIOLETWING_CONTROL_API_HTTP_HPP_

#include <event2/event.h>
#include <event2/http.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "control/api/messages.hpp"

namespace violetwing::http {

class Server {
 public:
  using Handler = std::function<void(Request, Answer)>;

  Server(event_base* base, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::error_code Listen(const std::string& address);  // host:port
  void StopListening();
  std::size_t unanswered() const { return *unanswered_; }

 private:
  static void OnRequest(evhttp_request* request, void* self);

  evhttp* http_;
  std::vector<evhttp_bound_socket*> sockets_;
  Handler handler_;
  std::shared_ptr<std::size_t> unanswered_ = std::make_shared<std::size_t>(0);
};

class Client {
 public:
  // `status` is 0 if there was no whole answer.
  using Done = std::function<void(int status, std::string body)>;

  explicit Client(event_base* base) : base_(base) {}
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Calls to one address go one after the other. `silence` bounds each wait: for the connection, for the
  // answer.
  void Call(const std::string& address, const std::string& method, const std::string& path, std::string body,
            std::chrono::milliseconds silence, Done done, const Headers& headers = {},
            BodyType type = BodyType::kJson);
  // Closes what has not been used for so long.
  void CloseIdle(std::chrono::seconds unused);

 private:
  struct Connection {
    evhttp_connection* handle = nullptr;
    std::size_t calls = 0;
    std::chrono::steady_clock::time_point used;
  };
  struct Pending {
    std::weak_ptr<Connection> connection;
    Done done;
  };
  static void OnDone(evhttp_request* request, void* pending);
  static void ResetOnClose(evhttp_connection* connection);

  event_base* base_;
  std::map<std::string, std::shared_ptr<Connection>> connections_;
};

// "10.0.0.1:80" in two; false if it is anything else.
bool Split(const std::string& address, std::string& host, std::uint16_t& port);

}  // namespace violetwing::http

#endif  // VIOLETWING_CONTROL_API_HTTP_HPP_
