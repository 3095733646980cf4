#include "control/api/guarded_client.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

#include "common/http_response.hpp"
#include "control/api/host_port.hpp"
#include "control/api/socket_buffer_event.hpp"

namespace violetwing::http {
namespace {

namespace beast_http = boost::beast::http;

constexpr int kHttp11 = 11;
constexpr std::uint32_t kMaxHeadBytes = 65'536;
// What is read and not parsed yet: the beginning of a head, of a chunk's header, or of a trailer.
constexpr std::size_t kMaxBufferedBytes = 65'536;

struct EventDeleter {
  void operator()(event* owned) const { event_free(owned); }
};

std::string SerializeHead(const GuardedClient::Call& call, std::size_t body_bytes) {
  const beast_http::verb method = beast_http::string_to_verb(call.method);
  beast_http::request<beast_http::empty_body> request(method, call.path, kHttp11);
  request.set(beast_http::field::host, call.address);
  for (const auto& [name, value] : call.headers) request.set(name, value);
  if (body_bytes > 0) request.set(beast_http::field::content_type, ContentType(call.type));
  if (body_bytes > 0 || method != beast_http::verb::get) request.content_length(body_bytes);
  std::ostringstream text;
  text << request.base();
  return text.str();
}

timeval ToTimeval(std::chrono::milliseconds span) {
  return {static_cast<time_t>(span.count() / 1000), static_cast<suseconds_t>(span.count() % 1000 * 1000)};
}

}  // namespace

// One connection, with the call that it carries, if any. The client owns it; `client_.Remove(this)` destroys
// it.
class GuardedClient::Connection {
 public:
  explicit Connection(GuardedClient& client)
      : client_(client),
        socket_(MakeSocketBufferEvent(client.base_, -1)),
        timeout_(event_new(
            client.base_, -1, 0,
            [](evutil_socket_t, short, void* self) { static_cast<Connection*>(self)->OnTimeout(); }, this)) {
    bufferevent_setcb(
        socket_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->OnReadable(); },
        nullptr, [](bufferevent*, short what, void* self) { static_cast<Connection*>(self)->OnEvent(what); },
        this);
    evbuffer_add_cb(bufferevent_get_output(socket_.get()), &Connection::OnOutputChange, this);
  }
  ~Connection() {
    evbuffer_remove_cb(bufferevent_get_output(socket_.get()), &Connection::OnOutputChange, this);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool IsIdle() const { return done_ == nullptr; }
  std::chrono::steady_clock::time_point last_used_at() const { return last_used_at_; }

  void Start(Call call, Guard may_send, Callback done) {
    call_ = std::move(call);
    may_send_ = std::move(may_send);
    done_ = std::move(done);
    sent_ = false;
    ExpectResponse();
    ArmTimeout();
    connected_ ? DeferSend() : Connect();
  }

 private:
  void ArmTimeout() {
    const timeval span = ToTimeval(call_.timeout);
    event_add(timeout_.get(), &span);
  }

  static void OnOutputChange(evbuffer*, const evbuffer_cb_info* change, void* self) {
    if (change->n_deleted > 0) static_cast<Connection*>(self)->OnProgress();
  }

  void OnProgress() {
    if (!IsIdle() && sent_ && call_.timeout_scope == TimeoutScope::kProgress) ArmTimeout();
  }

  // The parser is not eager: an eager one forgets that Content-Length exceeds the limit if bytes of the body
  // arrive together with the head, and reserves as much memory as the peer announces.
  void ExpectResponse() {
    parser_.emplace();
    parser_->header_limit(kMaxHeadBytes);
    parser_->body_limit(call_.max_response_bytes);
  }

  void Connect() {
    sockaddr_storage to{};
    int size = sizeof to;
    const bool parsed =
        ParseHostPort(call_.address) &&
        evutil_parse_sockaddr_port(call_.address.c_str(), reinterpret_cast<sockaddr*>(&to), &size) == 0;
    const bool connecting =
        parsed && bufferevent_socket_connect(socket_.get(), reinterpret_cast<sockaddr*>(&to), size) == 0;
    // The failure is reported from the event loop, like any other result.
    if (!connecting) event_active(timeout_.get(), EV_TIMEOUT, 0);
  }

  // Sends from the event loop, so that `done` is not called before `Start` has returned to the caller.
  void DeferSend() {
    bufferevent_trigger_event(socket_.get(), BEV_EVENT_CONNECTED, BEV_TRIG_DEFER_CALLBACKS);
  }

  void Send() {
    std::string body = std::move(call_.body);
    if (!may_send_()) {
      is_reusable_ = true;
      return Finish({GuardedResult::Outcome::kNotSent, 0, {}});
    }
    sent_ = true;
    ArmTimeout();
    std::string head = SerializeHead(call_, body.size());
    std::size_t written = WriteToSocket(head, body);
    if (written == 0) return Fail();
    for (const std::string& part : {std::cref(head), std::cref(body)}) {
      const std::size_t written_of_part = std::min(written, part.size());
      written -= written_of_part;
      BufferRest(part, written_of_part);
    }
  }

  // Writes to the socket directly, because the bufferevent would write in a later iteration of the event
  // loop. Returns how many bytes were written, 0 on an error.
  std::size_t WriteToSocket(std::string& head, std::string& body) {
    iovec parts[] = {{head.data(), head.size()}, {body.data(), body.size()}};
    msghdr message{};
    message.msg_iov = parts;
    message.msg_iovlen = std::size(parts);
    const ssize_t size = sendmsg(bufferevent_getfd(socket_.get()), &message, MSG_NOSIGNAL);
    return size < 0 ? 0 : static_cast<std::size_t>(size);
  }

  // The bufferevent sends the rest of a partly written request.
  void BufferRest(const std::string& part, std::size_t written) {
    if (written < part.size()) bufferevent_write(socket_.get(), part.data() + written, part.size() - written);
  }

  void OnEvent(short what) {
    if ((what & BEV_EVENT_EOF) != 0) return OnEndOfStream();
    if ((what & BEV_EVENT_CONNECTED) == 0) return Fail();
    connected_ = true;
    bufferevent_enable(socket_.get(), EV_READ);
    if (!IsIdle() && !sent_) Send();
  }

  // The end of the stream completes a response without a length and a transfer coding (RFC 9112,
  // section 6.3).
  void OnEndOfStream() {
    boost::system::error_code error;
    const bool has_head = !IsIdle() && sent_ && parser_->is_header_done();
    if (has_head) parser_->put_eof(error);
    has_head && !error ? Complete() : Fail();
  }

  // Data that arrives before a request was sent belongs to no call, so the connection cannot be used.
  void OnReadable() {
    if (IsIdle() || !sent_) return Fail();
    OnProgress();
    evbuffer* input = bufferevent_get_input(socket_.get());
    while (evbuffer_get_length(input) > 0 && !parser_->is_done()) {
      const ParseResult result = ParseSome(input);
      if (result == ParseResult::kInvalid) return Fail();
      if (result == ParseResult::kNeedsMore) return;
    }
    if (parser_->is_done()) Complete();
  }

  void Complete() {
    const bool is_request_written = evbuffer_get_length(bufferevent_get_output(socket_.get())) == 0;
    is_reusable_ = parser_->keep_alive() && is_request_written &&
                   evbuffer_get_length(bufferevent_get_input(socket_.get())) == 0;
    const int status = static_cast<int>(parser_->get().result_int());
    Finish({GuardedResult::Outcome::kAnswered, status, std::move(parser_->get().body())});
  }

  enum class ParseResult { kParsed, kNeedsMore, kInvalid };

  // Parses one part of the input: the head, or a piece of the body. Skips interim responses.
  ParseResult ParseSome(evbuffer* input) {
    const std::size_t available = evbuffer_get_length(input);
    const bool had_head = parser_->is_header_done();
    boost::system::error_code error;
    const std::size_t used = parser_->put(boost::asio::buffer(evbuffer_pullup(input, -1), available), error);
    evbuffer_drain(input, used);
    if (error == beast_http::error::need_more)
      return available - used <= kMaxBufferedBytes ? ParseResult::kNeedsMore : ParseResult::kInvalid;
    if (!error && used == 0) return ParseResult::kNeedsMore;
    if (!error && !had_head && parser_->is_header_done()) error = CheckResponseHead(parser_->get());
    if (error) return ParseResult::kInvalid;
    if (parser_->is_header_done() && IsInterimResponse(parser_->get())) ExpectResponse();
    return ParseResult::kParsed;
  }

  void OnTimeout() { Fail(); }

  void Fail() {
    is_reusable_ = false;
    Finish({sent_ ? GuardedResult::Outcome::kUnanswered : GuardedResult::Outcome::kNotSent, 0, {}});
  }

  // Without the reset, the kernel would still send the request after the close, once the network path is
  // restored.
  void ResetOnClose() {
    const linger reset_on_close{1, 0};
    const evutil_socket_t socket = bufferevent_getfd(socket_.get());
    if (socket >= 0) setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  }

  void Finish(GuardedResult result) {
    event_del(timeout_.get());
    last_used_at_ = std::chrono::steady_clock::now();
    const Callback done = std::exchange(done_, nullptr);
    if (result.outcome == GuardedResult::Outcome::kUnanswered) ResetOnClose();
    if (!std::exchange(is_reusable_, false)) client_.Remove(this);  // destroys this object
    if (done != nullptr) done(std::move(result));
  }

  GuardedClient& client_;
  const SocketBufferEvent socket_;
  const std::unique_ptr<event, EventDeleter> timeout_;
  Call call_;  // the current call
  Guard may_send_;
  Callback done_;  // null while idle
  std::optional<beast_http::response_parser<beast_http::string_body>> parser_;
  bool connected_ = false;
  bool sent_ = false;  // of the current call
  bool is_reusable_ = false;
  std::chrono::steady_clock::time_point last_used_at_;
};

GuardedClient::GuardedClient(event_base* base) : base_(base) {}

GuardedClient::~GuardedClient() = default;

void GuardedClient::Start(Call call, Guard may_send, Callback done) {
  const auto [begin, end] = connections_.equal_range(call.address);
  for (auto it = begin; it != end; ++it)
    if (it->second->IsIdle()) return it->second->Start(std::move(call), std::move(may_send), std::move(done));
  const auto added = connections_.emplace(call.address, std::make_unique<Connection>(*this));
  added->second->Start(std::move(call), std::move(may_send), std::move(done));
}

void GuardedClient::Remove(Connection* connection) {
  std::erase_if(connections_, [&](const auto& entry) { return entry.second.get() == connection; });
}

void GuardedClient::CloseIdle(std::chrono::seconds max_idle) {
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(connections_, [&](const auto& entry) {
    return entry.second->IsIdle() && now - entry.second->last_used_at() > max_idle;
  });
}

}  // namespace violetwing::http
