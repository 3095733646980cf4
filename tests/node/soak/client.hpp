// A client of a soak: sends one request after the other on kept connections, at once or in slow pieces, and
// keeps each connection open until the process at its other end closes it.
#ifndef VIOLETWING_TESTS_NODE_SOAK_CLIENT_HPP_
#define VIOLETWING_TESTS_NODE_SOAK_CLIENT_HPP_

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "common/http_response.hpp"
#include "node/soak/model_server.hpp"

namespace violetwing::testing::soak {

/// What a client has seen of one request. Times are those of the client.
struct Outcome {
  std::string id;
  std::size_t edge = 0;
  std::chrono::milliseconds deadline{0};
  bool in_chunks = false;
  bool sent_whole = false;
  Clock::time_point sent_at;   ///< when the last byte was sent
  Clock::time_point ended_at;  ///< when the response was complete, or the connection was closed
  int status = 0;              ///< 0: no head arrived
  bool complete = false;
  bool timed_out = false;  ///< the client gave up at its deadline
  bool malformed = false;  ///< what arrived is no HTTP response
  std::string body;
};

/// A kind of request.
struct RequestKind {
  std::string path;
  std::vector<std::string> models;  ///< one is drawn; empty: the kind needs no model
  std::chrono::milliseconds deadline{0};
  std::chrono::milliseconds longest_run{0};
};

/// Must be used on the thread of `io` only, and outlive it.
class Client {
 public:
  using Random = std::mt19937_64;
  /// Returns the edge that the platform passes a new connection to, and its address.
  using PickEdge = std::function<std::pair<std::size_t, std::string>()>;

  Client(boost::asio::io_context& io, std::string name, std::uint64_t seed, std::vector<RequestKind> kinds,
         PickEdge pick_edge, std::vector<Outcome>& outcomes)
      : random_(seed),
        name_(std::move(name)),
        kinds_(std::move(kinds)),
        pick_edge_(std::move(pick_edge)),
        outcomes_(outcomes),
        socket_(io),
        timer_(io),
        deadline_timer_(io) {}

  void Start() { Pause(Draw(0, 300)); }
  /// Sends no further request.
  void Stop() { stopped_ = true; }
  bool idle() const { return !busy_; }

 private:
  using ErrorCode = boost::system::error_code;
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  std::int64_t Draw(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
  }

  void Pause(std::int64_t ms) {
    timer_.expires_after(std::chrono::milliseconds(ms));
    timer_.async_wait([this](ErrorCode error) {
      if (!error && !stopped_) Begin();
    });
  }

  void Begin() {
    if (socket_.is_open()) return Send();
    const auto [edge, address] = pick_edge_();
    edge_ = edge;
    socket_.async_connect(*ParseEndpoint(address), [this](ErrorCode error) {
      if (error) return CloseAndPause();
      socket_.set_option(Tcp::no_delay(true), error);
      Send();
    });
  }

  void CloseAndPause() {
    ErrorCode ignored;
    socket_.close(ignored);
    buffer_.clear();
    Pause(Draw(10, 200));
  }

  // Half of the requests are sent at once, the others in pieces that take up to 2.5 s.
  void Send() {
    busy_ = true;
    const RequestKind& kind = kinds_[static_cast<std::size_t>(Draw(0, std::int64_t(kinds_.size()) - 1))];
    outcome_ = {};
    outcome_.id = name_ + "-" + std::to_string(++requests_);
    outcome_.edge = edge_;
    outcome_.deadline = kind.deadline;
    outcome_.in_chunks = Draw(0, 1) == 0;
    const std::string text = FormatRequest(kind);
    constexpr std::int64_t kPieces = 5;
    constexpr std::int64_t kLongestPauseMs = 500;
    const bool slow = Draw(0, 1) == 0;
    piece_pause_ = std::chrono::milliseconds(slow ? Draw(20, kLongestPauseMs) : 0);
    unsent_ = text;
    piece_size_ = slow ? text.size() / kPieces + 1 : text.size();
    Receive();
    WritePiece();
  }

  std::string FormatRequest(const RequestKind& kind) {
    const std::string body = "a prompt of some length, so that it can be sent in pieces";
    std::string text = "POST " + kind.path +
                       " HTTP/1.1\r\nHost: a.example\r\nX-Violetwing-Request-Id: " + outcome_.id +
                       "\r\nX-Violetwing-Deadline-Ms: " + std::to_string(kind.deadline.count()) + "\r\n" +
                       kRunMsHeader + ": " + std::to_string(Draw(0, kind.longest_run.count())) + "\r\n";
    if (!kind.models.empty())
      text += "X-Violetwing-Model: " +
              kind.models[static_cast<std::size_t>(Draw(0, std::int64_t(kind.models.size()) - 1))] +
              "\r\nX-Violetwing-Token-Count: 900,50\r\n";
    if (!outcome_.in_chunks)
      return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", body.size());
    return text + "Transfer-Encoding: chunked\r\n\r\n" + size + body + "\r\n0\r\n\r\n";
  }

  void WritePiece() {
    piece_ = unsent_.substr(0, piece_size_);
    unsent_.erase(0, piece_.size());
    boost::asio::async_write(socket_, boost::asio::buffer(piece_),
                             [this, id = outcome_.id](ErrorCode error, std::size_t) {
                               if (!error && id == outcome_.id && busy_) OnPieceWritten();
                             });
  }

  void OnPieceWritten() {
    if (unsent_.empty()) {
      outcome_.sent_whole = true;
      outcome_.sent_at = Clock::now();
      deadline_timer_.expires_after(outcome_.deadline);
      deadline_timer_.async_wait([this, id = outcome_.id](ErrorCode error) {
        if (error || id != outcome_.id || !busy_) return;
        outcome_.timed_out = true;
        ErrorCode ignored;
        socket_.close(ignored);
      });
      return;
    }
    timer_.expires_after(piece_pause_);
    timer_.async_wait([this](ErrorCode error) {
      if (!error && busy_) WritePiece();
    });
  }

  void Receive() {
    parser_.emplace();
    boost::beast::http::async_read(socket_, buffer_, *parser_,
                                   [this](ErrorCode error, std::size_t) { OnReceived(error); });
  }

  void OnReceived(ErrorCode error) {
    busy_ = false;
    timer_.cancel();
    deadline_timer_.cancel();
    outcome_.ended_at = Clock::now();
    outcome_.complete = !error;
    outcome_.malformed = IsMalformed(error);
    if (parser_->is_header_done()) outcome_.status = static_cast<int>(parser_->get().result_int());
    outcome_.body = parser_->get().body();
    outcomes_.push_back(outcome_);
    if (error || !outcome_.sent_whole) return CloseAndPause();
    if (parser_->keep_alive()) return Pause(Draw(0, 400));
    AwaitClose();
  }

  // Whether the response has invalid syntax, rather than none or no end.
  bool IsMalformed(ErrorCode error) const {
    using HttpError = boost::beast::http::error;
    if (parser_->is_header_done() && CheckResponseHead(parser_->get())) return true;
    const bool is_syntax = error.category() == make_error_code(HttpError::end_of_stream).category();
    return error && is_syntax && error != HttpError::end_of_stream && error != HttpError::partial_message;
  }

  // Keeps a connection that is announced to close open until the peer has closed it.
  void AwaitClose() {
    socket_.async_wait(Tcp::socket::wait_read, [this](ErrorCode) { CloseAndPause(); });
  }

  Random random_;
  const std::string name_;
  const std::vector<RequestKind> kinds_;
  const PickEdge pick_edge_;
  std::vector<Outcome>& outcomes_;
  Tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer deadline_timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  Outcome outcome_;
  std::string unsent_;
  std::string piece_;
  std::size_t piece_size_ = 0;
  std::chrono::milliseconds piece_pause_{0};
  std::size_t edge_ = 0;
  int requests_ = 0;
  bool busy_ = false;
  bool stopped_ = false;
};

}  // namespace violetwing::testing::soak

#endif  // VIOLETWING_TESTS_NODE_SOAK_CLIENT_HPP_
