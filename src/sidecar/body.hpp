// Message bodies in transit from the connection that reads them to the connection that writes them. Short
// bodies are buffered completely; longer ones are streamed through a bounded buffer.
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

/// Limits the bytes that all bodies of the process buffer together. Each body may buffer one block
/// (kBlockBytes) even when the budget is exhausted, so that it still makes progress.
class BufferBudget {
 public:
  explicit BufferBudget(std::size_t bytes) : left_(static_cast<std::ptrdiff_t>(bytes)) {}
  bool exhausted() const { return left_ <= 0; }
  void Reserve(std::size_t bytes) { left_ -= static_cast<std::ptrdiff_t>(bytes); }
  void Release(std::size_t bytes) { left_ += static_cast<std::ptrdiff_t>(bytes); }

 private:
  std::ptrdiff_t left_;
};

/// One message body. The reader appends blocks; the writer consumes them, addressed by byte offset from the
/// beginning of the body. Until data is discarded, the body can be replayed from its first byte, for example
/// by another attempt. Not thread-safe: reader and writer run on the same event loop.
class Body {
 public:
  explicit Body(std::shared_ptr<BufferBudget> budget) : budget_(std::move(budget)) {}
  ~Body() { budget_->Release(reserved_); }
  Body(const Body&) = delete;
  Body& operator=(const Body&) = delete;

  /// A body that has ended already and counts against no budget.
  static std::shared_ptr<Body> FromString(std::string text);

  // Called by the reader.

  /// Whether the reader may append another block.
  bool HasCapacity() const;
  void Append(std::string_view block);
  /// Marks the body as complete.
  void End();
  void Fail();  ///< The rest of the body will not arrive.

  // Called by the writer.

  /// The buffered data from the byte offset `position` on, which must not have been discarded. Valid until
  /// the body changes.
  std::string_view DataFrom(std::uint64_t position) const;
  /// The data before `position` has been copied for writing. It is discarded only if the reader could not go
  /// on otherwise, or if replay is disabled.
  void ConsumeUpTo(std::uint64_t position);
  void DisableReplay();  ///< No attempt will replay the body: consumed data is discarded.
  void Abandon();        ///< Nobody will consume the rest.

  bool ended() const { return ended_; }
  bool failed() const { return failed_; }
  bool replayable() const { return discarded_ == 0; }               ///< No data has been discarded.
  std::uint64_t size() const { return discarded_ + data_.size(); }  ///< Bytes appended so far.

  std::optional<std::uint64_t> length;  ///< Announced length in bytes; unset if the message has none.

  std::function<void()> on_capacity;   // HasCapacity holds again; the reader may append
  std::function<void()> on_abandoned;  // the reader may stop reading
  std::function<void()> on_data;       // more data, the end or a failure for the writer to handle
  std::function<void()> on_discarded;  // called once, when the first bytes are discarded
  std::function<void()> on_complete;   // called once, when the body is complete

 private:
  void UpdateReservation();

  const std::shared_ptr<BufferBudget> budget_;
  std::string data_;
  std::size_t reserved_ = 0;     // bytes of the budget
  std::uint64_t discarded_ = 0;  // bytes, from the beginning
  bool replay_allowed_ = true;
  bool ended_ = false;
  bool failed_ = false;
  bool abandoned_ = false;
};

using BodyPtr = std::shared_ptr<Body>;

/// Body type for Beast's parsers. The decoded data is moved out after each call of the parser, so it never
/// exceeds one read. Beast's string_body would reserve the length that the header announces.
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

/// Writes a message to a socket: its head, then its body as data becomes available. The socket must outlive
/// it.
class MessageWriter {
 public:
  using Done = std::function<void(ErrorCode)>;

  explicit MessageWriter(Tcp::socket& socket) : socket_(socket), stall_timer_(socket.get_executor()) {}

  /// Keeps `owner` alive while a write is in progress. Unless Stop is called first, calls `done` once from
  /// the event loop: without an error when the last byte is written, with one if the write fails, the peer
  /// reads nothing for the stall timeout (6 s) or the body fails.
  void Start(const std::shared_ptr<void>& owner, std::string head, BodyPtr body, bool chunked, Done done);
  /// Drops the message without calling `done`.
  void Stop();

 private:
  void WriteNext();
  void OnWritten(ErrorCode error);

  Tcp::socket& socket_;
  asio::steady_timer stall_timer_;
  std::weak_ptr<void> owner_;
  BodyPtr body_;
  Done done_;  // null if no message is being written
  std::string out_;
  std::uint64_t position_ = 0;
  bool chunked_ = false;
  bool last_ = false;  // the last byte is in `out_` or has been written
  bool writing_ = false;
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_BODY_HPP_
