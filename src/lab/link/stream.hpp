// A proxy for the connections from one party to another, with faults in each direction that may change at any
// time.
#ifndef VIOLETWING_LAB_LINK_STREAM_HPP_
#define VIOLETWING_LAB_LINK_STREAM_HPP_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "lab/door.hpp"
#include "lab/link/core.hpp"

namespace violetwing::lab {

class StreamPipe;

// Finds the connection of a link by its far side's port, so that the far party learns when a byte set out.
class SendTimes {
 public:
  // When byte `offset` of the connection from `port` entered its link; nothing if it came without a link.
  std::optional<Micros> Of(std::uint16_t port, std::uint64_t offset) const;

 private:
  friend class StreamPipe;
  std::unordered_map<std::uint16_t, const StreamPipe*> pipes_;
};

class StreamLink {
 public:
  // Hears of each connection as it comes, and of each line that was handed to the near end.
  struct Tap {
    std::function<void()> on_open;
    std::function<void(const std::string& line)> on_line;
  };

  StreamLink(asio::io_context& io, const Clock& clock, Tcp::endpoint target, std::uint64_t seed,
             SendTimes& times);
  ~StreamLink();
  StreamLink(const StreamLink&) = delete;
  StreamLink& operator=(const StreamLink&) = delete;

  const Tcp::endpoint& address() const { return door_.address(); }
  void SetTap(Tap tap) { tap_ = std::move(tap); }
  const LaneState& there() const { return there_; }
  const LaneState& back() const { return back_; }
  // A direction that is cut keeps what it has; connections that would be opened never come up meanwhile.
  void Set(const LaneState& there, const LaneState& back);
  // Whether somebody listens at the far end: the near end shows the same.
  void FollowFar(Door::State state);
  // Resets all connections, at both ends.
  void Reset();
  // Resets the far end of all connections, of which the near end learns nothing until Reset.
  void HalfOpen();

 private:
  friend class StreamPipe;
  void SetDoor();

  asio::io_context& io_;
  const Clock& clock_;
  Tcp::endpoint target_;
  std::uint64_t seed_;
  std::uint64_t pipes_opened_ = 0;
  SendTimes& times_;
  Tap tap_;
  LaneState there_;
  LaneState back_;
  Door::State far_ = Door::State::kRefusing;
  std::set<std::shared_ptr<StreamPipe>> pipes_;
  Door door_;
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_LINK_STREAM_HPP_
