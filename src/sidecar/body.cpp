#include "sidecar/body.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <utility>

namespace violetwing::sidecar {
namespace {

// How long a peer may take to read one piece: slow ones take seconds.
constexpr auto kMostStall = std::chrono::seconds(6);

}  // namespace

std::shared_ptr<Body> Body::FromString(std::string text) {
  auto body = std::make_shared<Body>(std::make_shared<BufferBudget>(0));
  body->data_ = std::move(text);
  body->ended_ = true;
  return body;
}

bool Body::HasCapacity() const {
  return held_ && !budget_->exhausted() ? data_.size() <= kMaxBufferedBodyBytes : data_.size() < kBlockBytes;
}

void Body::Append(std::string_view piece) {
  if (abandoned_ || piece.empty()) return;
  data_.append(piece);
  Book();
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

// What is taken from the system counts, and not what is in use of it.
void Body::Book() {
  budget_->Release(std::exchange(booked_, data_.capacity()));
  budget_->Reserve(booked_);
}

std::string_view Body::DataFrom(std::uint64_t position) const {
  return std::string_view(data_).substr(static_cast<std::size_t>(position - dropped_));
}

// What is held is dropped only when there is no other way to go on.
void Body::ConsumeUpTo(std::uint64_t position) {
  if (held_ && (ended_ || position < size())) return;
  if (held_ && HasCapacity()) {  // its reader may have stopped while the budget was spent
    if (on_capacity) on_capacity();
    return;
  }
  const bool first = std::exchange(held_, false) || dropped_ == 0;
  const auto taken = static_cast<std::size_t>(position - dropped_);
  if (taken == 0) return;
  data_.erase(0, taken);
  if (data_.empty() && data_.capacity() > 2 * kBlockBytes) data_.shrink_to_fit();
  dropped_ = position;
  Book();
  if (first && on_discarded) std::exchange(on_discarded, nullptr)();
  if (HasCapacity() && on_capacity) on_capacity();
}

void Body::DisableReplay() { held_ = false; }

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
    if (const auto kept = weak.lock()) Next();
  };
  Next();
}

void MessageWriter::Stop() {
  done_ = nullptr;
  stall_.cancel();
  if (body_ != nullptr) body_->on_data = nullptr;
  body_ = nullptr;
}

// Writes what there is: one piece at most, so that the rest can wait where it is counted.
void MessageWriter::Next() {
  if (writing_ || !done_ || last_) return;
  if (body_->failed()) {
    // Later: a body may break, and its writer be told, in the middle of what its reader does.
    asio::post(socket_.get_executor(),
               [kept = owner_.lock(), done = std::move(done_)] { done(asio::error::connection_aborted); });
    return Stop();
  }
  const std::string_view piece = body_->DataFrom(position_).substr(0, kBlockBytes);
  if (!piece.empty()) {
    if (chunked_) {
      char size[20];
      out_.append(size, static_cast<std::size_t>(std::snprintf(size, sizeof size, "%zx\r\n", piece.size())));
    }
    out_.append(piece);
    if (chunked_) out_.append("\r\n");
    position_ += piece.size();
  }
  last_ = body_->ended() && position_ == body_->size();
  if (last_ && chunked_) out_.append("0\r\n\r\n");
  if (out_.empty() && !last_) return;  // the body says when there is more
  writing_ = true;
  stall_.expires_after(kMostStall);
  stall_.async_wait([this, kept = owner_.lock()](ErrorCode stopped) {
    if (stopped || !writing_ || stall_.expiry() > std::chrono::steady_clock::now()) return;
    ErrorCode ignored;
    socket_.cancel(ignored);  // ends the write with an error
  });
  asio::async_write(socket_, asio::buffer(out_),
                    [this, kept = owner_.lock()](ErrorCode error, std::size_t) { OnWritten(error); });
  if (!piece.empty()) body_->ConsumeUpTo(position_);  // it is in `out_`
}

void MessageWriter::OnWritten(ErrorCode error) {
  writing_ = false;
  stall_.cancel();
  out_.clear();
  if (!done_) return;
  if (!error && !last_) return Next();
  const Done done = std::move(done_);
  Stop();
  done(error);
}

}  // namespace violetwing::sidecar
