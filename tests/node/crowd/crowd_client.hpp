// Clients that do not behave: each sends what its script says, as fast as its peer reads it, and keeps its
// connection open.
#ifndef VIOLETWING_TESTS_NODE_CROWD_CROWD_CLIENT_HPP_
#define VIOLETWING_TESTS_NODE_CROWD_CROWD_CLIENT_HPP_

#include <array>
#include <boost/asio.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/http_client.hpp"

namespace violetwing::testing::crowd {

/// What a client sends, and whether it reads what it is sent.
struct Script {
  std::string begin;  ///< sent first
  std::string piece;  ///< then sent `pieces` times
  std::uint64_t pieces = 0;
  std::string end;  ///< sent last; the connection stays open after it
  bool reads = true;
};

/// Keeps itself alive while operations are pending. Runs on the thread of its executor.
class CrowdClient : public std::enable_shared_from_this<CrowdClient> {
 public:
  using Tcp = boost::asio::ip::tcp;
  using ErrorCode = boost::system::error_code;

  CrowdClient(boost::asio::io_context& io, std::shared_ptr<const Script> script)
      : socket_(io), script_(std::move(script)) {}

  void Start(const std::string& address) {
    socket_.async_connect(*ParseEndpoint(address), [self = shared_from_this()](ErrorCode error) {
      if (error) return self->Close();
      if (self->script_->reads) self->Read();
      self->Write(self->script_->begin);
    });
  }
  void Close() {
    ended_ = true;
    ErrorCode ignored;
    socket_.close(ignored);
  }
  /// The peer has closed the connection, or everything is sent.
  bool done() const { return ended_ || sent_; }
  bool ended() const { return ended_; }
  /// The first bytes that the peer has sent.
  const std::string& response() const { return response_; }

 private:
  static constexpr std::size_t kKeptResponseBytes = 512;

  void Write(const std::string& text) {
    boost::asio::async_write(socket_, boost::asio::buffer(text),
                             [self = shared_from_this()](ErrorCode error, std::size_t) {
                               if (error || self->ended_) return self->Close();
                               self->WriteNext();
                             });
  }
  void WriteNext() {
    if (sent_pieces_ < script_->pieces) {
      ++sent_pieces_;
      return Write(script_->piece);
    }
    if (std::exchange(end_sent_, true)) {
      sent_ = true;
      return;
    }
    Write(script_->end);
  }
  void Read() {
    socket_.async_read_some(boost::asio::buffer(input_),
                            [self = shared_from_this()](ErrorCode error, std::size_t size) {
                              if (error) return self->Close();
                              if (self->response_.size() < kKeptResponseBytes)
                                self->response_.append(self->input_.data(), size);
                              self->Read();
                            });
  }

  Tcp::socket socket_;
  const std::shared_ptr<const Script> script_;
  std::uint64_t sent_pieces_ = 0;
  bool end_sent_ = false;
  bool sent_ = false;
  bool ended_ = false;
  std::string response_;
  std::array<char, 16384> input_{};
};

/// Clients with the same script.
class Crowd {
 public:
  Crowd(boost::asio::io_context& io, int size, Script script, const std::string& address) {
    const auto shared = std::make_shared<const Script>(std::move(script));
    for (int i = 0; i < size; ++i) {
      clients_.push_back(std::make_shared<CrowdClient>(io, shared));
      clients_.back()->Start(address);
    }
  }
  ~Crowd() {
    for (const auto& client : clients_) client->Close();
  }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  bool done() const {
    for (const auto& client : clients_)
      if (!client->done()) return false;
    return true;
  }
  const std::vector<std::shared_ptr<CrowdClient>>& clients() const { return clients_; }

 private:
  std::vector<std::shared_ptr<CrowdClient>> clients_;
};

}  // namespace violetwing::testing::crowd

#endif  // VIOLETWING_TESTS_NODE_CROWD_CROWD_CLIENT_HPP_
