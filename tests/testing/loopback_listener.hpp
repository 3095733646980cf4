// A listening socket on loopback at a port that the kernel chooses, for tests that act as the peer.
#ifndef VIOLETWING_TESTS_TESTING_LOOPBACK_LISTENER_HPP_
#define VIOLETWING_TESTS_TESTING_LOOPBACK_LISTENER_HPP_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>

namespace violetwing::testing {

class LoopbackListener {
 public:
  LoopbackListener() : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    REQUIRE(bind(socket_, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(socket_, 4) == 0);
    REQUIRE(getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }
  ~LoopbackListener() { close(socket_); }
  LoopbackListener(const LoopbackListener&) = delete;
  LoopbackListener& operator=(const LoopbackListener&) = delete;

  int socket_fd() const { return socket_; }
  /// The address that it listens on, host:port.
  const std::string& address() const { return address_; }

 private:
  const int socket_;
  std::string address_;
};

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_LOOPBACK_LISTENER_HPP_
