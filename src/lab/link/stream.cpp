#include "lab/link/stream.hpp"

#include <array>
#include <deque>
#include <string>
#include <utility>

namespace violetwing::lab {
namespace {

constexpr std::size_t kMostQueued =
    std::size_t{256} * 1024;  // then the source is not read: the sender's window fills

}  // namespace

// One connection of a link. Lives until both of its ends are closed.
class StreamPipe : public std::enable_shared_from_this<StreamPipe> {
 public:
  StreamPipe(StreamLink& link, Tcp::socket near_end, std::uint64_t seed)
      : link_(&link),
        near_(std::move(near_end)),
        far_(link.io_),
        there_(link.io_, seed, near_, far_),
        back_(link.io_, seed + 1, far_, near_) {}

  void Open() {
    far_.async_connect(link_->target_, [self = shared_from_this()](ErrorCode error) {
      if (self->link_ == nullptr) return;
      if (error) return self->End();
      ErrorCode ignored;
      self->far_.set_option(Tcp::no_delay(true), ignored);
      self->port_ = self->far_.local_endpoint(ignored).port();
      self->link_->times_.pipes_[self->port_] = self.get();
      self->Read(self->there_);
      self->Read(self->back_);
    });
  }

  // A direction was changed; what is due may go out now.
  void Changed() {
    Write(there_);
    Write(back_);
  }

  // The far end is gone, and the near end hears nothing of it.
  void HalfOpen() {
    half_open_ = true;
    Forget();
    lab::Reset(far_);
    there_.queue.clear();
  }

  // The link is gone.
  void Abandon() {
    Forget();
    link_ = nullptr;
    lab::Reset(near_);
    lab::Reset(far_);
  }
  // Resets both ends and lets go of the link.
  void End() {
    if (link_ == nullptr) return;
    Forget();
    StreamLink* const link = std::exchange(link_, nullptr);
    there_.timer.cancel();
    back_.timer.cancel();
    lab::Reset(near_);
    lab::Reset(far_);
    link->pipes_.erase(shared_from_this());
  }

  Micros SendTime(std::uint64_t offset) const {
    for (const auto& [end, at] : entered_)
      if (offset < end) return at;
    return link_ == nullptr ? 0 : link_->clock_.Now();
  }

 private:
  struct Chunk {
    std::string bytes;  // empty = the end of the stream
    Micros due = 0;
  };
  struct Side {
    Side(asio::io_context& io, std::uint64_t seed, Tcp::socket& source, Tcp::socket& sink)
        : lane(seed), from(source), to(sink), timer(io) {}
    Lane lane;
    Tcp::socket& from;
    Tcp::socket& to;
    asio::steady_timer timer;
    std::array<char, 16384> input{};
    std::deque<Chunk> queue;
    std::size_t queued = 0;
    bool reading = false;
    bool writing = false;
    bool ended = false;
  };

  const LaneState& State(const Side& side) const { return &side == &there_ ? link_->there_ : link_->back_; }

  void Forget() {
    if (link_ == nullptr || port_ == 0) return;
    const auto it = link_->times_.pipes_.find(port_);
    if (it != link_->times_.pipes_.end() && it->second == this) link_->times_.pipes_.erase(it);
  }

  void Read(Side& side) {
    if (link_ == nullptr || side.reading || side.ended || side.queued >= kMostQueued) return;
    side.reading = true;
    side.from.async_read_some(
        asio::buffer(side.input), [self = shared_from_this(), &side](ErrorCode error, std::size_t size) {
          side.reading = false;
          if (self->link_ == nullptr) return;
          if (error && error != asio::error::eof) {
            // A half-open connection hides a reset from its near end, and not one of its near end.
            if (!self->half_open_ || &side == &self->there_) self->End();
            return;
          }
          if (error && self->half_open_) return;
          side.ended = static_cast<bool>(error);
          const Micros now = self->link_->clock_.Now();
          if (&side == &self->there_ && size > 0) self->Enter(size, now);
          if (self->half_open_) return self->Read(side);  // into nothing
          side.queue.push_back(
              {std::string(side.input.data(), size), side.lane.Due(self->State(side), now, size)});
          side.queued += size;
          self->Write(side);
          self->Read(side);
        });
  }

  void Tell(const std::string& bytes) {
    if (!link_->tap_.on_line) return;
    line_ += bytes;
    std::size_t begin = 0;
    for (std::size_t end = line_.find('\n'); end != std::string::npos; end = line_.find('\n', begin)) {
      link_->tap_.on_line(line_.substr(begin, end - begin));
      begin = end + 1;
    }
    line_.erase(0, begin);
  }

  void Enter(std::size_t size, Micros now) {
    total_ += size;
    entered_.emplace_back(total_, now);
    if (entered_.size() > 64) entered_.pop_front();  // requests come one at a time
  }

  void Write(Side& side) {
    if (link_ == nullptr || side.writing || side.queue.empty() || State(side).cut || half_open_) return;
    const Micros now = link_->clock_.Now();
    const Chunk& front = side.queue.front();
    if (front.due > now) {
      side.timer.expires_at(link_->clock_.At(front.due));
      side.timer.async_wait([self = shared_from_this(), &side](ErrorCode error) {
        if (!error) self->Write(side);
      });
      return;
    }
    if (front.bytes.empty()) {
      ErrorCode ignored;
      side.to.shutdown(Tcp::socket::shutdown_send, ignored);
      side.queue.pop_front();
      if (there_.ended && back_.ended && there_.queue.empty() && back_.queue.empty()) End();
      return;
    }
    side.writing = true;
    asio::async_write(side.to, asio::buffer(front.bytes),
                      [self = shared_from_this(), &side](ErrorCode error, std::size_t size) {
                        side.writing = false;
                        if (self->link_ == nullptr || self->half_open_) return;
                        if (error) return self->End();
                        if (&side == &self->back_) self->Tell(side.queue.front().bytes);
                        if (self->link_ == nullptr) return;
                        side.queued -= size;
                        side.queue.pop_front();
                        self->Write(side);
                        self->Read(side);
                      });
  }

  StreamLink* link_;  // null once it is over
  Tcp::socket near_;
  Tcp::socket far_;
  Side there_;
  Side back_;
  std::uint16_t port_ = 0;
  bool half_open_ = false;
  std::string line_;  // what was handed to the near end of a line that has not ended
  std::uint64_t total_ = 0;
  std::deque<std::pair<std::uint64_t, Micros>> entered_;  // bytes there so far, and when
};

std::optional<Micros> SendTimes::Of(std::uint16_t port, std::uint64_t offset) const {
  const auto it = pipes_.find(port);
  if (it == pipes_.end()) return std::nullopt;
  return it->second->SendTime(offset);
}

StreamLink::StreamLink(asio::io_context& io, const Clock& clock, Tcp::endpoint target, std::uint64_t seed,
                       SendTimes& times)
    : io_(io),
      clock_(clock),
      target_(std::move(target)),
      seed_(seed),
      times_(times),
      door_(io, [this](Tcp::socket socket) {
        const auto pipe =
            std::make_shared<StreamPipe>(*this, std::move(socket), Hash(seed_ + pipes_opened_++, "pipe"));
        pipes_.insert(pipe);
        if (tap_.on_open) tap_.on_open();
        pipe->Open();
      }) {}

StreamLink::~StreamLink() {
  for (const auto& pipe : pipes_) pipe->Abandon();
}

void StreamLink::Set(const LaneState& there, const LaneState& back) {
  there_ = there;
  back_ = back;
  SetDoor();
  for (const auto& pipe : std::set(pipes_)) pipe->Changed();
}

void StreamLink::FollowFar(Door::State state) {
  far_ = state;
  SetDoor();
}

void StreamLink::SetDoor() {
  const bool cut = there_.cut || back_.cut;  // a handshake needs both directions
  door_.Set(cut ? Door::State::kSilent : far_);
}

void StreamLink::Reset() {
  for (const auto& pipe : std::set(pipes_)) pipe->End();
}

void StreamLink::HalfOpen() {
  for (const auto& pipe : pipes_) pipe->HalfOpen();
}

}  // namespace violetwing::lab
