// Clients of a soak that do not behave, at every listener of its processes, and what the processes hold
// meanwhile.
#ifndef VIOLETWING_TESTS_NODE_SOAK_MISBEHAVING_CROWD_HPP_
#define VIOLETWING_TESTS_NODE_SOAK_MISBEHAVING_CROWD_HPP_

#include <boost/asio.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "node/crowd/crowd_client.hpp"
#include "node/crowd/process_usage.hpp"
#include "node/soak/fleet.hpp"

namespace violetwing::testing::soak {

/// Must be used on the thread of `io` only, and outlive it.
class MisbehavingCrowd {
 public:
  MisbehavingCrowd(boost::asio::io_context& io, Fleet& fleet, int size, std::uint64_t seed)
      : io_(io), fleet_(fleet), random_(seed), timer_(io), members_(static_cast<std::size_t>(size)) {
    Poll();
  }
  ~MisbehavingCrowd() {
    for (const Member& member : members_)
      if (member.client != nullptr) member.client->Close();
  }
  MisbehavingCrowd(const MisbehavingCrowd&) = delete;
  MisbehavingCrowd& operator=(const MisbehavingCrowd&) = delete;

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
  static constexpr std::uint64_t kPieceBytes = 65'536;
  static constexpr std::uint64_t kBodyPieces = 16;
  static constexpr std::uint64_t kEndlessPieces = 512;

  struct Member {
    std::shared_ptr<crowd::CrowdClient> client;
    Clock::time_point until;
  };

  // Every 100 ms: replaces clients whose time is over or whose peer has closed, and measures the processes.
  void Poll() {
    for (Member& member : members_)
      if (member.client == nullptr || member.client->ended() || Clock::now() >= member.until) Replace(member);
    for (const auto* group : {&fleet_.edges(), &fleet_.controls()})
      for (const auto& machine : *group)
        if (machine->process->id() != 0)
          peaks_[machine->name] =
              crowd::Peak(peaks_[machine->name], crowd::MeasureUsage(machine->process->id()));
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
    const Machine& edge = *fleet_.edges()[random_() % fleet_.edges().size()];
    const Machine& control = *fleet_.controls()[random_() % fleet_.controls().size()];
    switch (random_() % 8) {
      case 0:
        DrawBody(script, "PUT /api/configuration");
        return control.address;
      case 1:
        DrawBody(script, "POST /internal/exchange");
        return control.address.substr(0, control.address.find(':')) + ":7660";
      case 2:
        DrawBody(script, "GET /api/readyz");
        return edge.readiness;
      case 3:
        script.begin = "GET /api/configuration HTTP/1.1\r\nHost: a\r\n\r\n";
        script.reads = false;
        return control.address;
      default:
        DrawBody(script, "POST /red/");
        return edge.address;
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
  Fleet& fleet_;
  std::mt19937_64 random_;
  boost::asio::steady_timer timer_;
  std::vector<Member> members_;
  std::map<std::string, crowd::ProcessUsage> peaks_;  // by name of the machine
};

}  // namespace violetwing::testing::soak

#endif  // VIOLETWING_TESTS_NODE_SOAK_MISBEHAVING_CROWD_HPP_
