// Follows the list of servers with one watch (a long-lived HTTP response). The watch is reopened with
// jittered backoff when it ends, falls silent or delivers invalid data; with several addresses, at another
// address.
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

/// A server as discovery lists it. `info.started` is Unix time in microseconds, as is the module's clock.
struct Endpoint {
  ServerInfo info;
  Tcp::endpoint address;
};

/// A list of servers, or the changes since an earlier one.
struct EndpointList {
  bool complete = false;  // false: only the changed entries
  std::int64_t generation = 0;
  std::vector<Endpoint> endpoints;
  bool stale = false;  // the sending follower has long had no contact with its registry
};

/// Parses a list. Returns nullopt with the reason in `error` if any part of it is invalid.
std::optional<EndpointList> ParseList(const nlohmann::json& json, const bench_adapter::WireSettings& names,
                                      std::string& error);

/// Parses an IP address with a port, such as "127.0.0.1:80". Returns nullopt for anything else.
std::optional<Tcp::endpoint> ParseAddress(std::string_view text);

/// Keeps a watch on the list of servers open.
class Discovery {
 public:
  /// Timeouts and backoff of the watch, in microseconds.
  struct Timing {
    // Discovery sends an empty line every 2 s. Lists that a silent watch missed count as delivered 6 s after
    // it fell silent. A timeout of 4 s leaves one second for the wait before the next request and one for its
    // response.
    Micros silence_timeout = 4'000'000;
    Micros backoff_base = 200'000;    // the n-th reopening (from 0) waits random(0, base * 2^n) ...
    Micros backoff_max = 1'000'000;   // ... with this upper limit
    Micros stale_retry = 10'000'000;  // 1 to 2 times this between tries if all are stale
    bool reopens = true;              // false: the owner calls Watch again
  };
  /// The timing for a deployment's settings and its number of discovery addresses.
  static Timing TimingFor(const Settings& settings, std::size_t addresses);

  /// Callbacks to the owner.
  struct Events {
    // Called with each list before it is applied; returns false with a reason to reject it. May be empty.
    std::function<bool(const nlohmann::json&, std::string& reason)> accept_list;
    std::function<void(const EndpointList&)> on_list;
    std::function<void()> on_watch_ended;  // the watch ended or never opened
  };

  /// `addresses` must not be empty; the first is used as long as it responds. `names` must outlive this
  /// object.
  Discovery(asio::io_context& io, std::vector<Tcp::endpoint> addresses,
            const bench_adapter::WireSettings& names, Timing timing, std::uint64_t seed, Events events);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  /// Opens the watch for changes after `generation`. Does nothing if a watch is open.
  void Watch(std::int64_t generation);
  /// Reads and applies data that the watch has received but not processed, so that a decision in a delayed
  /// event loop uses the latest list.
  void ReadPending();
  /// Closes the current watch and opens one at the first of `addresses` at once.
  void SwitchAddresses(std::vector<Tcp::endpoint> addresses, std::int64_t generation);
  /// The address that is watched or will be tried next.
  const Tcp::endpoint& address() const { return addresses_[current_]; }

 private:
  class Stream;

  void Open();
  void OnLine(const std::string& line);
  void OnWatchEnded(const std::string& reason, bool bad_input);

  void PickAnotherAddress();
  void LeaveStaleAddress();
  void ScheduleStaleRetry();

  asio::io_context& io_;
  std::vector<Tcp::endpoint> addresses_;
  std::size_t current_ = 0;
  std::size_t address_changes_ = 0;  // how often the address changed since the last list that was not stale
  const bench_adapter::WireSettings& names_;
  const Timing timing_;
  const Events events_;
  std::mt19937_64 rng_;
  asio::steady_timer reopen_timer_;
  std::shared_ptr<Stream> stream_;
  std::int64_t generation_ = 0;
  int failures_ = 0;
  bool logged_bad_input_ = false;
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_DISCOVERY_HPP_
