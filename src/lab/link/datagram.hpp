// A proxy for the datagrams from one party to another: delay, jitter, loss, reordering, cut, rate, each way
// by itself.
#ifndef VIOLETWING_LAB_LINK_DATAGRAM_HPP_
#define VIOLETWING_LAB_LINK_DATAGRAM_HPP_

#include <array>
#include <map>
#include <memory>
#include <string>

#include "lab/link/core.hpp"
#include "lab/shell.hpp"

namespace violetwing::lab {

class DatagramLink {
 public:
  DatagramLink(asio::io_context& io, const Clock& clock, Udp::endpoint target, std::uint64_t seed);
  ~DatagramLink();
  DatagramLink(const DatagramLink&) = delete;
  DatagramLink& operator=(const DatagramLink&) = delete;

  Udp::endpoint address() const { return near_->socket.local_endpoint(); }
  void Set(const LaneState& there, const LaneState& back) {
    there_ = there;
    back_ = back;
  }

 private:
  // A socket with what it has received last; shared with what is under way.
  struct Port {
    explicit Port(asio::io_context& io);
    Udp::socket socket;
    Udp::endpoint sender;
    std::array<char, 65536> input{};
  };

  std::shared_ptr<Port> FarSideOf(const Udp::endpoint& sender);
  void ReadNear();
  void ReadFar(const std::shared_ptr<Port>& far_port, const Udp::endpoint& sender);
  void Send(const std::shared_ptr<Port>& from, const Udp::endpoint& to, std::string bytes, Micros due);

  asio::io_context& io_;
  const Clock& clock_;
  Udp::endpoint target_;
  LaneState there_;
  LaneState back_;
  Lane there_lane_;
  Lane back_lane_;
  std::shared_ptr<Port> near_;
  std::map<Udp::endpoint, std::shared_ptr<Port>> far_;  // by sender: answers find their way back
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_LINK_DATAGRAM_HPP_
