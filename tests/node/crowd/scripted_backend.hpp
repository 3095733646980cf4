// A stand-in for a server whose response follows from the path of the request.
#ifndef VIOLETWING_TESTS_NODE_CROWD_SCRIPTED_BACKEND_HPP_
#define VIOLETWING_TESTS_NODE_CROWD_SCRIPTED_BACKEND_HPP_

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "common/http_client.hpp"

namespace violetwing::testing::crowd {

/// Paths: /x/quick is answered at once, /x/never not at all, /x/large with kLargeBytes, and /x/trailers with
/// a chunked body whose trailers go on for kLargeBytes. Runs on the thread of `io`.
class ScriptedBackend {
 public:
  static constexpr std::size_t kLargeBytes = std::size_t{128} * 1024 * 1024;

  ScriptedBackend(boost::asio::io_context& io, std::string address)
      : address_(std::move(address)), acceptor_(io, *ParseEndpoint(address_)) {
    Accept();
  }
  const std::string& address() const { return address_; }

 private:
  using Tcp = boost::asio::ip::tcp;
  using ErrorCode = boost::system::error_code;

  class Session : public std::enable_shared_from_this<Session> {
   public:
    explicit Session(Tcp::socket socket) : socket_(std::move(socket)) {}
    void Read() {
      request_.emplace();
      request_->body_limit(kLargeBytes);
      boost::beast::http::async_read(socket_, buffer_, *request_,
                                     [self = shared_from_this()](ErrorCode error, std::size_t) {
                                       if (!error) self->OnRequest();
                                     });
    }

   private:
    void OnRequest() {
      const auto target = request_->get().target();
      if (target == "/x/never") return;
      if (target == "/x/large")
        return WriteRepeated(Head("Content-Length: " + std::to_string(kLargeBytes)),
                             std::string(kPieceBytes, 'x'));
      if (target == "/x/trailers")
        return WriteRepeated(Head("Transfer-Encoding: chunked") + "0\r\n",
                             "a: " + std::string(kPieceBytes - 5, 'x') + "\r\n");
      Write(Head("Content-Length: 2") + "ok", [self = shared_from_this()] { self->Read(); });
    }
    std::string Head(const std::string& field) const {
      return "HTTP/1.1 200 OK\r\nX-Violetwing-Request-Id: " +
             std::string(request_->get()["X-Violetwing-Request-Id"]) + "\r\n" + field + "\r\n\r\n";
    }
    // Sends `first`, then `piece` again and again, kLargeBytes in all.
    void WriteRepeated(const std::string& first, const std::string& piece) {
      piece_ = piece;
      Write(first, [self = shared_from_this()] { self->WritePiece(); });
    }
    void WritePiece() {
      if (sent_bytes_ >= kLargeBytes) return;
      sent_bytes_ += piece_.size();
      Write(piece_, [self = shared_from_this()] { self->WritePiece(); });
    }
    template <class Next>
    void Write(std::string text, Next next) {
      output_ = std::move(text);
      boost::asio::async_write(socket_, boost::asio::buffer(output_),
                               [self = shared_from_this(), next](ErrorCode error, std::size_t) {
                                 if (!error) next();
                               });
    }

    static constexpr std::size_t kPieceBytes = 65'536;
    Tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> request_;
    std::string output_;
    std::string piece_;
    std::size_t sent_bytes_ = 0;
  };

  void Accept() {
    acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
      if (error) return;
      std::make_shared<Session>(std::move(socket))->Read();
      Accept();
    });
  }

  const std::string address_;
  Tcp::acceptor acceptor_;
};

}  // namespace violetwing::testing::crowd

#endif  // VIOLETWING_TESTS_NODE_CROWD_SCRIPTED_BACKEND_HPP_
