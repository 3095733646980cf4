// Clients of a soak that do not behave, at every listener of its processes, and what the processes hold
// meanwhile.
#ifndef VIOLETWING_TESTS_NODE_SOAK_MISBEHAVING_CROWD_HPP_
#define VIOLETWING_TESTS_NODE_SOAK_MISBEHAVING_CROWD_HPP_

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "node/crowd/crowd_client.hpp"
#include "node/crowd/process_usage.hpp"
#include "node/soak/fleet.hpp"

namespace violetwing::testing::soak {

/// Clients that do not behave, in a process of their own, so that what they send does not delay those who
/// watch the system.
class MisbehavingCrowd {
 public:
  /// Where the clients go to.
  struct Target {
    std::string ingress;
    std::string readiness;
    std::string control_plane;
    std::string internal;  ///< of the same control process
  };

  MisbehavingCrowd(std::vector<Target> targets, int size, std::uint64_t seed);
  ~MisbehavingCrowd() {
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
  }
  MisbehavingCrowd(const MisbehavingCrowd&) = delete;
  MisbehavingCrowd& operator=(const MisbehavingCrowd&) = delete;

 private:
  static constexpr std::uint64_t kPieceBytes = 65'536;
  static constexpr std::uint64_t kBodyPieces = 16;
  static constexpr std::uint64_t kEndlessPieces = 512;

  class Players;

  const pid_t process_;
};

class MisbehavingCrowd::Players {
 public:
  Players(boost::asio::io_context& io, std::vector<Target> targets, int size, std::uint64_t seed)
      : io_(io),
        targets_(std::move(targets)),
        random_(seed),
        timer_(io),
        members_(static_cast<std::size_t>(size)) {
    Poll();
  }

 private:
  struct Member {
    std::shared_ptr<crowd::CrowdClient> client;
    Clock::time_point until;
  };

  // Every 100 ms: replaces clients whose time is over or whose peer has closed.
  void Poll() {
    for (Member& member : members_)
      if (member.client == nullptr || member.client->ended() || Clock::now() >= member.until) Replace(member);
    timer_.expires_after(std::chrono::milliseconds(100));
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) Poll();
    });
  }

  void Replace(Member& member) {
    if (member.client != nullptr) member.client->Close();
    auto script = std::make_shared<crowd::Script>();
    const std::string address = Draw(*script);
    member.client = std::make_shared<crowd::CrowdClient>(io_, script);
    member.client->Start(address);
    constexpr std::uint64_t kLongestStayMs = 8000;
    member.until = Clock::now() + std::chrono::milliseconds(random_() % kLongestStayMs);
  }

  // Draws a script and the address that it is played at.
  std::string Draw(crowd::Script& script) {
    const Target& target = targets_[random_() % targets_.size()];
    switch (random_() % 8) {
      case 0:
        DrawBody(script, "PUT /api/configuration");
        return target.control_plane;
      case 1:
        DrawBody(script, "POST /internal/exchange");
        return target.internal;
      case 2:
        DrawBody(script, "GET /api/readyz");
        return target.readiness;
      case 3:
        script.begin = "GET /api/configuration HTTP/1.1\r\nHost: a\r\n\r\n";
        script.reads = false;
        return target.control_plane;
      default:
        DrawBody(script, "POST /red/");
        return target.ingress;
    }
  }

  void DrawBody(crowd::Script& script, const std::string& request) {
    script.reads = random_() % 2 == 0;
    script.piece = std::string(kPieceBytes, 'x');
    const std::string head = request + " HTTP/1.1\r\nHost: a.example\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::uint64_t pieces = kBodyPieces * (1 + random_() % 4);
    switch (random_() % 6) {
      case 0:  // trailers without an end
        script.begin = chunked + "1\r\nx\r\n0\r\na: ";
        script.pieces = kEndlessPieces;
        return;
      case 1:  // an extension without an end
        script.begin = chunked + "1;a=";
        script.pieces = kEndlessPieces;
        return;
      case 2:  // a body that stops short of its end
        script.begin = head + "Content-Length: " + std::to_string(pieces * kPieceBytes + 1) + "\r\n\r\n";
        script.pieces = pieces;
        return;
      case 3:  // a whole body, and more
        script.begin = head + "Content-Length: " + std::to_string(pieces * kPieceBytes) + "\r\n\r\n";
        script.pieces = 2 * pieces;
        return;
      case 4:  // chunks beyond every limit
        script.begin = chunked;
        script.piece = "10000\r\n" + script.piece + "\r\n";
        script.pieces = kEndlessPieces;
        return;
      default:  // half a head
        script.begin = head;
        script.pieces = 0;
        return;
    }
  }

  boost::asio::io_context& io_;
  const std::vector<Target> targets_;
  std::mt19937_64 random_;
  boost::asio::steady_timer timer_;
  std::vector<Member> members_;
};

inline MisbehavingCrowd::MisbehavingCrowd(std::vector<Target> targets, int size, std::uint64_t seed)
    : process_(fork()) {
  if (process_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (process_ > 0) return;
  // None of the connections of the process that it comes from may stay open here.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  close_range(3, ~0U, 0);
  boost::asio::io_context io;
  Players players(io, std::move(targets), size, seed);
  io.run();
  _exit(0);
}

/// Measures what the processes of a fleet hold, while the event loop runs.
class UsageMonitor {
 public:
  UsageMonitor(boost::asio::io_context& io, Fleet& fleet) : fleet_(fleet), timer_(io) { Poll(); }

  /// Processes that held more than their limits, one line each.
  std::vector<std::string> Excesses() const {
    std::vector<std::string> excesses;
    for (const auto& [name, peak] : peaks_) {
      const bool too_large = kMeasuresMemory && peak.memory_mb > kMemoryMb;
      if (!too_large && peak.descriptors <= kMaxDescriptors) continue;
      excesses.push_back(name + " held " + std::to_string(peak.memory_mb) + " MB and " +
                         std::to_string(peak.descriptors) + " descriptors");
    }
    return excesses;
  }
  /// The largest figures of all processes.
  crowd::ProcessUsage peak() const {
    crowd::ProcessUsage peak;
    for (const auto& [name, usage] : peaks_) peak = crowd::Peak(peak, usage);
    return peak;
  }

 private:
#ifdef __SANITIZE_ADDRESS__
  static constexpr bool kMeasuresMemory = false;  // most of it is the sanitizers' own
#else
  static constexpr bool kMeasuresMemory = true;
#endif

  void Poll() {
    const crowd::UnreadBySocket unread = crowd::ReadUnreadBytes();
    for (const auto* group : {&fleet_.edges(), &fleet_.controls()})
      for (const auto& machine : *group)
        if (machine->process->id() != 0)
          peaks_[machine->name] =
              crowd::Peak(peaks_[machine->name], crowd::MeasureUsage(machine->process->id(), unread));
    timer_.expires_after(std::chrono::milliseconds(250));
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) Poll();
    });
  }

  Fleet& fleet_;
  boost::asio::steady_timer timer_;
  std::map<std::string, crowd::ProcessUsage> peaks_;  // by name of the machine
};

}  // namespace violetwing::testing::soak

#endif  // VIOLETWING_TESTS_NODE_SOAK_MISBEHAVING_CROWD_HPP_
