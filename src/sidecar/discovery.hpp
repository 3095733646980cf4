// Follows the list of servers: one watch, reopened with jittered backoff when it ends, falls silent or says
// something that cannot be understood. Where there are further addresses, the next one is tried each time.
#ifndef VIOLETWING_SIDECAR_DISCOVERY_HPP_
#define VIOLETWING_SIDECAR_DISCOVERY_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "bench_adapter/wire.hpp"
#include "sidecar/balancer_types.hpp"
#include "sidecar/protocol.hpp"

namespace violetwing::sidecar {

// A server as discovery lists it. `info.started` is Unix time here; the module's clock runs along with it.
struct Endpoint {
  ServerInfo info;
  Tcp::endpoint address;
};

struct EndpointList {
  bool complete = false;  // else changed entries alone
  std::int64_t generation = 0;
  std::vector<Endpoint> endpoints;
  bool stale = false;  // a follower that has long heard nothing of its registry tells it
};

// Reads a list; empty, with the reason in `error`, if any part of it makes no sense.
std::optional<EndpointList> ParseList(const nlohmann::json& json, const bench_adapter::WireSettings& names,
                                      std::string& error);

// "127.0.0.1:80"; empty if it is anything else.
std::optional<Tcp::endpoint> ParseAddress(std::string_view text);

class Discovery {
 public:
  struct Timing {
    // An empty line comes every 2 s; what a silent watch missed counts as told 6 s after it fell silent. That
    // leaves a second each for the wait before the next call, and for its answer.
    Micros silence = 4'000'000;
    Micros backoff_base = 200'000;    // the wait before the n-th reopening is random(0, base * 2^n) ...
    Micros backoff_most = 1'000'000;  // ... and no longer than this
    Micros stale_stay = 10'000'000;   // and up to twice so long, where all addresses are stale or gone
    bool reopens = true;              // false: somebody else decides when to ask again
  };
  // As a deployment's settings have it.
  static Timing TimingFor(const Settings& settings, std::size_t addresses);

  struct Events {
    // A list before it is taken, as it was read; false if it must not be taken, with the reason. May be
    // empty.
    std::function<bool(const nlohmann::json&, std::string& reason)> may_take;
    std::function<void(const EndpointList&)> on_list;
    std::function<void()> on_failed;  // the watch ended or never opened
  };

  // Asks the first of `addresses` as long as it answers; there is at least one.
  Discovery(asio::io_context& io, std::vector<Tcp::endpoint> addresses,
            const bench_adapter::WireSettings& names, Timing timing, std::uint64_t seed, Events events);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  // Opens the watch, to be told of what changed after `generation`. Does nothing if it is open already.
  void Watch(std::int64_t generation);
  // Takes what has come on the watch and not been read yet: before a decision by one who may be late.
  void ReadPending();
  // Follows discovery to other addresses, at once: the watch at the old one is over.
  void SwitchAddresses(std::vector<Tcp::endpoint> addresses, std::int64_t generation);
  const Tcp::endpoint& address() const { return addresses_[at_]; }  // that is watched, or asked next

 private:
  class Stream;

  void Open();
  void OnLine(const std::string& line);
  void OnEnd(const std::string& reason, bool bad_input);

  void GoToAnother();
  void LookElsewhere();
  void StayForNow();

  asio::io_context& io_;
  std::vector<Tcp::endpoint> addresses_;
  std::size_t at_ = 0;
  std::size_t tried_ = 0;  // addresses left since a fresh list came
  const bench_adapter::WireSettings& names_;
  const Timing timing_;
  const Events events_;
  std::mt19937_64 random_;
  asio::steady_timer backoff_;
  std::shared_ptr<Stream> stream_;
  std::int64_t generation_ = 0;
  int failures_ = 0;
  bool complained_ = false;
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_DISCOVERY_HPP_
