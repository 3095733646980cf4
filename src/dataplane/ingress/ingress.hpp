// Connections of clients: requests are read whole, one after the other, and answers written as they come.
#ifndef VIOLETWING_DATAPLANE_INGRESS_INGRESS_HPP_
#define VIOLETWING_DATAPLANE_INGRESS_INGRESS_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <system_error>

#include "control/configuration/reader.hpp"
#include "dataplane/http/http_text.hpp"

namespace violetwing {

struct ClientRequest {
  std::string method;
  std::string target;
  std::string host;
  FieldList fields;  // end to end
  std::string body;
  bool has_length = false;  // it came with a body, be it empty
  std::chrono::steady_clock::time_point arrived;
};

class Ingress;

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using Tcp = boost::asio::ip::tcp;

  ClientConnection(Ingress& ingress, Tcp::socket socket);
  void Start();

  // The answer to the request at hand: its head, its body in pieces, its end. Without a length the body is
  // chunked.
  void SendHead(int status, const std::string& reason, const FieldList& fields,
                std::optional<std::uint64_t> length, bool bodiless);
  void SendData(std::string_view piece);
  void Finish();
  // A whole short answer of our own.
  void Answer(int status, const std::string& reason, const FieldList& fields, const std::string& body);
  // Ends the connection so that the answer cannot look complete.
  void Abort();
  // Bytes that the client has not taken yet.
  std::size_t unsent() const { return out_.size() + writing_.size(); }
  bool head_sent() const { return head_sent_; }

  std::function<void()> on_gone;     // the client has left before the answer's end
  std::function<void()> on_drained;  // all bytes so far were taken

  void CloseIfIdle();
  // `on_gone` is called if the answer at hand has not ended.
  void Close();

 private:
  using ErrorCode = boost::system::error_code;
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  enum class Phase { kIdle, kHead, kBody, kAnswering };

  void AwaitRequest();
  void ReadHead();
  void ReadBody();
  void OnRequest();
  void RejectAndClose(ErrorCode error);
  void WatchClient();
  void LimitTime(std::chrono::milliseconds time);
  void Write();
  void OnWritten(ErrorCode error);

  Ingress& ingress_;
  Tcp::socket socket_;
  boost::asio::steady_timer limit_;
  boost::beast::flat_buffer buffer_;
  std::unique_ptr<Parser> parser_;
  Phase phase_ = Phase::kIdle;
  std::string out_;
  std::string writing_;
  bool head_sent_ = false;
  bool chunked_ = false;
  bool keep_ = true;
  bool finished_ = false;
  bool closed_ = false;
  bool old_client_ = false;  // HTTP/1.0: no chunks
  std::uint64_t request_number_ = 0;
};

using ClientPtr = std::shared_ptr<ClientConnection>;

// A listening socket and the connections that came to it.
class Ingress {
 public:
  using Handler = std::function<void(const ClientPtr&, ClientRequest)>;

  Ingress(boost::asio::io_context& io, Handler handler);
  std::error_code Listen(const std::string& address);
  // Answers tell clients that the connection ends after them.
  void SetClosing() { closing_ = true; }
  // Takes no more connections and closes the idle ones.
  void StopListening();
  // Closes the others too, whatever is open on them.
  void CloseAll();
  void SetLimits(const configuration::Limits& limits) { limits_ = limits; }
  // Connections on which a request is being read or answered.
  std::size_t busy() const { return busy_; }

 private:
  friend class ClientConnection;
  void Accept();

  boost::asio::io_context& io_;
  const Handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  configuration::Limits limits_;
  std::set<ClientPtr> connections_;
  std::size_t busy_ = 0;
  bool closing_ = false;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_INGRESS_INGRESS_HPP_
