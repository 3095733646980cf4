#include "sidecar/body.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <utility>

namespace violetwing::sidecar {
namespace {

// Limit for one write of at most a block: slow peers take seconds to read it.
constexpr auto kStallTimeout = std::chrono::seconds(6);

}  // namespace

std::shared_ptr<Body> Body::FromString(std::string text) {
  auto body = std::make_shared<Body>(std::make_shared<BufferBudget>(0));
  body->data_ = std::move(text);
  body->ended_ = true;
  return body;
}

bool Body::HasCapacity() const {
  return replay_allowed_ && !budget_->exhausted() ? data_.size() <= kMaxBufferedBodyBytes
                                                  : data_.size() < kBlockBytes;
}

void Body::Append(std::string_view block) {
  if (abandoned_ || block.empty()) return;
  data_.append(block);
  UpdateReservation();
  if (on_data) on_data();
}

void Body::End() {
  ended_ = true;
  if (on_complete) std::exchange(on_complete, nullptr)();
  if (on_data) on_data();
}

void Body::Fail() {
  if (ended_ || std::exchange(failed_, true)) return;
  if (on_data) on_data();
}

// Reserves the string's capacity, not its size: that is the memory that is allocated.
void Body::UpdateReservation() {
  budget_->Release(std::exchange(reserved_, data_.capacity()));
  budget_->Reserve(reserved_);
}

std::string_view Body::DataFrom(std::uint64_t position) const {
  return std::string_view(data_).substr(static_cast<std::size_t>(position - discarded_));
}

// Discards data only if replay is disabled, or if the reader has to stop with the buffer full and all of it
// consumed.
void Body::ConsumeUpTo(std::uint64_t position) {
  if (replay_allowed_ && (ended_ || position < size())) return;
  if (replay_allowed_ && HasCapacity()) {  // the reader may have stopped while the budget was exhausted
    if (on_capacity) on_capacity();
    return;
  }
  const bool first = std::exchange(replay_allowed_, false) || discarded_ == 0;
  const auto consumed = static_cast<std::size_t>(position - discarded_);
  if (consumed == 0) return;
  data_.erase(0, consumed);
  if (data_.empty() && data_.capacity() > 2 * kBlockBytes) data_.shrink_to_fit();
  discarded_ = position;
  UpdateReservation();
  if (first && on_discarded) std::exchange(on_discarded, nullptr)();
  if (HasCapacity() && on_capacity) on_capacity();
}

void Body::DisableReplay() { replay_allowed_ = false; }

void Body::Abandon() {
  if (std::exchange(abandoned_, true)) return;
  if (on_abandoned) std::exchange(on_abandoned, nullptr)();
}

void MessageWriter::Start(const std::shared_ptr<void>& owner, std::string head, BodyPtr body, bool chunked,
                          Done done) {
  owner_ = owner;
  body_ = std::move(body);
  done_ = std::move(done);
  out_ = std::move(head);
  position_ = 0;
  chunked_ = chunked;
  last_ = false;
  body_->on_data = [this, weak = owner_] {
    if (const auto kept = weak.lock()) WriteNext();
  };
  WriteNext();
}

void MessageWriter::Stop() {
  done_ = nullptr;
  stall_timer_.cancel();
  if (body_ != nullptr) body_->on_data = nullptr;
  body_ = nullptr;
}

// Writes the available data, at most one block: the rest stays in the body, where the budget counts it.
void MessageWriter::WriteNext() {
  if (writing_ || !done_ || last_) return;
  if (body_->failed()) {
    // Posted, as the body may fail inside one of its reader's handlers.
    asio::post(socket_.get_executor(),
               [kept = owner_.lock(), done = std::move(done_)] { done(asio::error::connection_aborted); });
    return Stop();
  }
  const std::string_view block = body_->DataFrom(position_).substr(0, kBlockBytes);
  if (!block.empty()) {
    if (chunked_) {
      char size[20];
      out_.append(size, static_cast<std::size_t>(std::snprintf(size, sizeof size, "%zx\r\n", block.size())));
    }
    out_.append(block);
    if (chunked_) out_.append("\r\n");
    position_ += block.size();
  }
  last_ = body_->ended() && position_ == body_->size();
  if (last_ && chunked_) out_.append("0\r\n\r\n");
  if (out_.empty() && !last_) return;  // the body calls on_data when there is more
  writing_ = true;
  stall_timer_.expires_after(kStallTimeout);
  stall_timer_.async_wait([this, kept = owner_.lock()](ErrorCode timer_error) {
    if (timer_error || !writing_ || stall_timer_.expiry() > std::chrono::steady_clock::now()) return;
    ErrorCode ignored;
    socket_.cancel(ignored);  // the write completes with an error
  });
  asio::async_write(socket_, asio::buffer(out_),
                    [this, kept = owner_.lock()](ErrorCode error, std::size_t) { OnWritten(error); });
  if (!block.empty()) body_->ConsumeUpTo(position_);  // the block is in `out_`
}

void MessageWriter::OnWritten(ErrorCode error) {
  writing_ = false;
  stall_timer_.cancel();
  out_.clear();
  if (!done_) return;
  if (!error && !last_) return WriteNext();
  const Done done = std::move(done_);
  Stop();
  done(error);
}

}  // namespace violetwing::sidecar
