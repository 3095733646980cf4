#include "lab/link/datagram.hpp"

#include <utility>

namespace violetwing::lab {

DatagramLink::Port::Port(asio::io_context& io)
    : socket(io, Udp::endpoint(asio::ip::address_v4::loopback(), 0)) {}

DatagramLink::DatagramLink(asio::io_context& io, const Clock& clock, Udp::endpoint target, std::uint64_t seed)
    : io_(io),
      clock_(clock),
      target_(std::move(target)),
      there_lane_(seed),
      back_lane_(seed + 1),
      near_(std::make_shared<Port>(io)) {
  ReadNear();
}

DatagramLink::~DatagramLink() {
  ErrorCode ignored;
  near_->socket.close(ignored);
  for (auto& [sender, port] : far_) port->socket.close(ignored);
}

std::shared_ptr<DatagramLink::Port> DatagramLink::FarSideOf(const Udp::endpoint& sender) {
  std::shared_ptr<Port>& port = far_[sender];
  if (port == nullptr) {
    port = std::make_shared<Port>(io_);
    ReadFar(port, sender);
  }
  return port;
}

void DatagramLink::ReadNear() {
  near_->socket.async_receive_from(
      asio::buffer(near_->input), near_->sender, [this, port = near_](ErrorCode error, std::size_t size) {
        if (!port->socket.is_open()) return;  // and this link is gone
        if (!error) {
          const auto due = there_lane_.DueDatagram(there_, clock_.Now(), size);
          if (due) Send(FarSideOf(port->sender), target_, std::string(port->input.data(), size), *due);
        }
        ReadNear();
      });
}

void DatagramLink::ReadFar(const std::shared_ptr<Port>& far_port, const Udp::endpoint& sender) {
  far_port->socket.async_receive_from(asio::buffer(far_port->input), far_port->sender,
                                      [this, far_port, sender](ErrorCode error, std::size_t size) {
                                        if (!far_port->socket.is_open()) return;
                                        if (!error) {
                                          const auto due = back_lane_.DueDatagram(back_, clock_.Now(), size);
                                          if (due)
                                            Send(near_, sender, std::string(far_port->input.data(), size),
                                                 *due);
                                        }
                                        ReadFar(far_port, sender);
                                      });
}

void DatagramLink::Send(const std::shared_ptr<Port>& from, const Udp::endpoint& to, std::string bytes,
                        Micros due) {
  auto timer = std::make_shared<asio::steady_timer>(io_, clock_.At(due));
  timer->async_wait([timer, from, to, bytes = std::move(bytes)](ErrorCode error) {
    ErrorCode ignored;
    if (!error && from->socket.is_open()) from->socket.send_to(asio::buffer(bytes), to, 0, ignored);
  });
}

}  // namespace violetwing::lab
