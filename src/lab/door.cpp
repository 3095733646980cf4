#include "lab/door.hpp"

#include <sys/socket.h>

#include <utility>

namespace violetwing::lab {

Door::Door(asio::io_context& io, std::function<void(Tcp::socket)> on_accept)
    : io_(io), on_accept_(std::move(on_accept)), reserved_(io, Tcp::v4()) {
  // Linux lets another socket listen at an address that is bound with this option, and gives it to nobody by
  // itself.
  reserved_.set_option(asio::socket_base::reuse_address(true));
  reserved_.bind(Loopback());
  address_ = reserved_.local_endpoint();
}

Door::~Door() { Close(); }

void Door::Close() {
  plugs_.clear();
  if (acceptor_ == nullptr) return;
  ErrorCode ignored;
  acceptor_->close(ignored);
  acceptor_ = nullptr;
}

void Door::Set(State state) {
  if (state == state_) return;
  state_ = state;
  Close();
  if (state == State::kOpen) {
    Listen(asio::socket_base::max_listen_connections);
    Accept();
  } else if (state == State::kSilent) {
    Listen(0);
    Plug();
  }
}

void Door::Listen(int backlog) {
  acceptor_ = std::make_shared<Tcp::acceptor>(io_);
  acceptor_->open(Tcp::v4());
  acceptor_->set_option(asio::socket_base::reuse_address(true));
  acceptor_->bind(address_);
  acceptor_->listen(backlog);
}

void Door::Accept() {
  acceptor_->async_accept([this, acceptor = acceptor_](ErrorCode error, Tcp::socket socket) {
    if (acceptor != acceptor_) return;
    if (!error) {
      ErrorCode ignored;
      socket.set_option(Tcp::no_delay(true), ignored);
      on_accept_(std::move(socket));
    }
    if (acceptor == acceptor_) Accept();
  });
}

// Linux drops what would open a connection to a listener whose queue is full, which is how a machine looks
// that does not answer. A queue of length 0 holds one connection that nobody takes: ours.
void Door::Plug() {
  Tcp::socket plug(io_, Tcp::v4());
  ErrorCode ignored;
  plug.non_blocking(true, ignored);
  plug.connect(address_, ignored);  // under way, or up at once
  plugs_.push_back(std::move(plug));
}

}  // namespace violetwing::lab
