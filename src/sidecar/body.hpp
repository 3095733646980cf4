// Bodies on their way: from the connection that reads one to the connection that writes it, held whole while
// they are short and in bounded pieces once they are not.
#ifndef VIOLETWING_SIDECAR_BODY_HPP_
#define VIOLETWING_SIDECAR_BODY_HPP_

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "sidecar/protocol.hpp"

namespace violetwing::sidecar {

// What all bodies of the process may hold together. Each may hold one piece even when it is spent.
class BufferBudget {
 public:
  explicit BufferBudget(std::size_t bytes) : left_(static_cast<std::ptrdiff_t>(bytes)) {}
  bool exhausted() const { return left_ <= 0; }
  void Reserve(std::size_t bytes) { left_ -= static_cast<std::ptrdiff_t>(bytes); }
  void Release(std::size_t bytes) { left_ += static_cast<std::ptrdiff_t>(bytes); }

 private:
  std::ptrdiff_t left_;
};

// One body. Its reader appends and its writer takes, by the number of bytes from the beginning; neither keeps
// the other waiting for longer than it takes. While it is held, all of it can be written once more.
class Body {
 public:
  explicit Body(std::shared_ptr<BufferBudget> budget) : budget_(std::move(budget)) {}
  ~Body() { budget_->Release(booked_); }
  Body(const Body&) = delete;
  Body& operator=(const Body&) = delete;

  static std::shared_ptr<Body> FromString(std::string text);

  // The reader's side.
  bool HasCapacity() const;
  void Append(std::string_view piece);
  void End();
  void Fail();  // the rest will not come

  // The writer's side.
  std::string_view DataFrom(std::uint64_t position) const;
  void ConsumeUpTo(std::uint64_t position);
  void DisableReplay();  // nobody will write it once more: what is taken is dropped
  void Abandon();        // nobody will take the rest

  bool ended() const { return ended_; }
  bool failed() const { return failed_; }
  bool replayable() const { return dropped_ == 0; }               // nothing is gone of what has come
  std::uint64_t size() const { return dropped_ + data_.size(); }  // so far

  std::optional<std::uint64_t> length;  // as announced

  std::function<void()> on_capacity;   // the reader may append again
  std::function<void()> on_abandoned;  // the reader need not
  std::function<void()> on_data;       // there is more to write, or the end
  std::function<void()> on_discarded;  // its first bytes are gone
  std::function<void()> on_complete;   // it has come whole

 private:
  void Book();

  const std::shared_ptr<BufferBudget> budget_;
  std::string data_;
  std::size_t booked_ = 0;  // of the budget
  std::uint64_t dropped_ = 0;
  bool held_ = true;
  bool ended_ = false;
  bool failed_ = false;
  bool abandoned_ = false;
};

using BodyPtr = std::shared_ptr<Body>;

// For the HTTP library's parsers: what they decode is taken away after each turn, so that it stays as short
// as what was read. Its own string body would reserve what a header announces.
struct IncrementalBody {
  using value_type = std::string;
  class reader {
   public:
    template <bool kIsRequest, class Fields>
    reader(http::header<kIsRequest, Fields>&, value_type& body) : body_(body) {}
    void init(const boost::optional<std::uint64_t>&, ErrorCode& error) { error = {}; }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, ErrorCode& error) {
      error = {};
      std::size_t size = 0;
      for (const auto buffer : beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
        size += buffer.size();
      }
      return size;
    }
    void finish(ErrorCode& error) { error = {}; }

   private:
    value_type& body_;
  };
};

// Writes a message to a socket: its head, then its body as it comes.
class MessageWriter {
 public:
  using Done = std::function<void(ErrorCode)>;

  explicit MessageWriter(Tcp::socket& socket) : socket_(socket), stall_(socket.get_executor()) {}

  // `owner` is kept while a write is out. `done` is called once, from the loop, unless it is stopped: when
  // the last byte is written, or when that cannot be, as the peer takes nothing for long or the body has
  // broken.
  void Start(const std::shared_ptr<void>& owner, std::string head, BodyPtr body, bool chunked, Done done);
  void Stop();

 private:
  void Next();
  void OnWritten(ErrorCode error);

  Tcp::socket& socket_;
  asio::steady_timer stall_;
  std::weak_ptr<void> owner_;
  BodyPtr body_;
  Done done_;  // null when it is idle
  std::string out_;
  std::uint64_t position_ = 0;
  bool chunked_ = false;
  bool last_ = false;  // the last byte is in `out_` or has gone
  bool writing_ = false;
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_BODY_HPP_
