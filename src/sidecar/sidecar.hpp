// The sidecar: connects the application, the servers and discovery to the decision module (Balancer). The
// module makes every decision; this class owns the pending requests, the timers and the clock.
#ifndef VIOLETWING_SIDECAR_SIDECAR_HPP_
#define VIOLETWING_SIDECAR_SIDECAR_HPP_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "sidecar/admin.hpp"
#include "sidecar/balancer_types.hpp"
#include "sidecar/config.hpp"
#include "sidecar/discovery.hpp"
#include "sidecar/drain.hpp"
#include "sidecar/inbound.hpp"
#include "sidecar/last_list.hpp"
#include "sidecar/metrics.hpp"
#include "sidecar/operator_orders.hpp"
#include "sidecar/upstream.hpp"

namespace violetwing::sidecar {

/// One sidecar. Single-threaded: all calls and callbacks run on the loop of `io`.
class Sidecar : private ActionSink {
 public:
  /// Throws ConfigError if the settings are invalid. Opens no socket.
  Sidecar(asio::io_context& io, Config config);
  ~Sidecar() override;
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  /// Listens and watches discovery. Throws boost::system::system_error if it cannot listen on an address.
  void Start();
  /// Switches to the discovery addresses of a new configuration. Its other settings need a restart.
  void Reload(const Config& config);
  /// Accepts connections for a short time longer, finishes all pending requests, then calls `finished`.
  void Drain(std::function<void()> finished);

  Tcp::endpoint address() const { return inbound_->address(); }
  Tcp::endpoint admin_address() const { return admin_->address(); }
  std::size_t requests_held() const { return calls_.size(); }
  std::size_t upstream_connections() const { return upstream_.open_connections(); }

 private:
  struct Attempt {
    Upstream::AttemptId upstream = 0;
    Micros sent = 0;
    Micros expires = 0;
    Micros response_started = 0;  // when streaming of its response started; 0 = it has not
    bool in_flight = true;
  };
  // A request, from its arrival until it has been answered and its last attempt has a result.
  struct Call {
    RequestHead head;
    BodyPtr body;
    int request_class = -1;
    Inbound::SessionPtr session;  // null once it has been answered or its client has disconnected
    Micros budget = 0;            // time limit, counted from its last byte
    Micros deadline = 0;          // when the final response is due
    std::vector<Attempt> attempts;
    std::unique_ptr<asio::steady_timer> timer;

    bool HasAttemptInFlight() const;
  };
  using Calls = std::unordered_map<std::string, Call>;

  // ActionSink: the actions of the decision module.
  void Send(std::string_view request, const std::string& server, Micros timeout,
            Micros begin_within) override;
  void Cancel(std::string_view request, int attempt) override;
  void Reject(std::string_view request, Micros retry_after) override;
  void Fail(std::string_view request) override;
  void SetTimer(Micros delay, std::uint64_t token) override;
  void Subscribe() override;
  void Log(std::string_view text) override;

  Micros Now() const;
  Micros NowForDecision();
  void PollDiscovery();
  Tcp::acceptor Listener();
  bool IsSuccessor() const;
  void StartAccepting();
  bool Ready() const;
  std::function<bool(const nlohmann::json&, std::string&)> ListValidator();
  EndpointList InitialList();
  void OnList(ListUpdate::Kind kind, const EndpointList& list, bool awaits_list = false);
  void OnDiscoveryFailed();
  void OnRequest(const Inbound::SessionPtr& session, RequestHead head, const BodyPtr& body, Micros waited);
  void FollowBody(const std::string& id, Body& body);
  void OnBodyReceived(const std::string& id);
  void OnClientClosed(const Inbound::SessionPtr& session);
  void OnStreamingStarted(const std::string& id, int attempt, const ResponseHead& head, const BodyPtr& body);
  void OnUpstreamResponse(const std::string& id, int attempt, UpstreamResponse response);
  void ReportOutcome(const std::string& id, int attempt, Result result);
  void SendResponse(Call& call, ResponseHead head, BodyPtr body);
  void SendResponse(Call& call, HttpResponse response);
  void ScheduleTimer(const std::string& id, Call& call);
  void OnCallTimer(const std::string& id);
  void EraseIfFinished(const std::string& id);
  void PostErase(const std::string& id);
  static RequestHead Forwarded(const Call& call);
  int ClassIndex(std::string_view name) const;
  int TenantIndex(std::string_view name) const;
  void ExpireCalls();

  asio::io_context& io_;
  const Config config_;
  const Micros clock_offset_;
  const std::shared_ptr<BufferBudget> budget_;  // memory for all bodies
  std::unique_ptr<Balancer> balancer_;
  Metrics metrics_;
  std::unique_ptr<LastList> last_list_;  // null if the list is not stored
  Upstream upstream_;
  Discovery discovery_;
  std::unique_ptr<Inbound> inbound_;
  std::unique_ptr<OperatorOrders> operator_orders_;  // null without an admin address
  std::unique_ptr<Admin> admin_;                     // null without an admin address
  Calls calls_;
  std::int64_t generation_ = 0;
  Micros last_discovery_poll_ = 0;  // when the watch was last polled ahead of a decision
  bool accepting_ = false;          // clients' connections
  asio::steady_timer start_timer_;  // limits the wait for a list before that
  sidecar::Drain drain_;
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_SIDECAR_HPP_
