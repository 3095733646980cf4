// One sidecar: brings the application, the servers and discovery together around the decision module. Every
// decision is the module's; this holds the requests, the timers and the clock.
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

class Sidecar : private ActionSink {
 public:
  // Throws ConfigError if the settings make no sense; opens no socket.
  Sidecar(asio::io_context& io, Config config);
  ~Sidecar() override;
  Sidecar(const Sidecar&) = delete;
  Sidecar& operator=(const Sidecar&) = delete;

  // Listens and follows discovery. Throws boost::system::system_error if an address cannot be had.
  void Start();
  // Goes over to the discovery of a new configuration; the rest of it holds from the next start on.
  void Reload(const Config& config);
  // Takes what still comes for a short while, finishes all that it holds, then calls `finished`.
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
    Micros begun = 0;  // when its answer began to be passed on; 0 = not
    bool out = true;
  };
  // A request, from its arrival until it has its answer and its last attempt is resolved.
  struct Call {
    RequestHead head;
    BodyPtr body;
    int request_class = -1;
    Inbound::SessionPtr session;  // null once it has been answered or its client has gone
    Micros budget = 0;            // from its last byte on
    Micros deadline = 0;          // the final answer is owed before
    std::vector<Attempt> attempts;
    std::unique_ptr<asio::steady_timer> timer;

    bool AnyOut() const;
  };
  using Calls = std::unordered_map<std::string, Call>;

  // The module's actions.
  void Send(std::string_view request, const std::string& server, Micros timeout,
            Micros begin_within) override;
  void Cancel(std::string_view request, int attempt) override;
  void Reject(std::string_view request, Micros retry_after) override;
  void Fail(std::string_view request) override;
  void SetTimer(Micros delay, std::uint64_t token) override;
  void Subscribe() override;
  void Log(std::string_view text) override;

  Micros Now() const;
  Micros NowToDecide();
  void TakeNews();
  Tcp::acceptor Listener();
  bool Succeeds() const;
  void TakeClients();
  bool Ready() const;
  std::function<bool(const nlohmann::json&, std::string&)> TakesLists();
  EndpointList Known();
  void OnList(ListUpdate::Kind kind, const EndpointList& list, bool awaits = false);
  void OnDiscoveryFailed();
  void OnRequest(const Inbound::SessionPtr& session, RequestHead head, const BodyPtr& body, Micros waited);
  void FollowBody(const std::string& id, Body& body);
  void OnRequestEnded(const std::string& id);
  void OnClientGone(const Inbound::SessionPtr& session);
  void OnAnswerBegun(const std::string& id, int attempt, const ResponseHead& head, const BodyPtr& body);
  void OnAnswer(const std::string& id, int attempt, UpstreamAnswer answer);
  void Conclude(const std::string& id, int attempt, Result result);
  void Answer(Call& call, ResponseHead head, BodyPtr body);
  void Answer(Call& call, HttpResponse response);
  void Watch(const std::string& id, Call& call);
  void OnDue(const std::string& id);
  void EraseIfOver(const std::string& id);
  void EraseLater(const std::string& id);
  static RequestHead Forwarded(const Call& call);
  int ClassIndex(std::string_view name) const;
  int TenantIndex(std::string_view name) const;
  void HurryCalls();

  asio::io_context& io_;
  const Config config_;
  const Micros clock_offset_;
  const std::shared_ptr<BufferBudget> budget_;  // of all bodies
  std::unique_ptr<Balancer> balancer_;
  Metrics metrics_;
  std::unique_ptr<LastList> last_list_;  // null where none is kept
  Upstream upstream_;
  Discovery discovery_;
  std::unique_ptr<Inbound> inbound_;
  std::unique_ptr<OperatorOrders> operator_orders_;  // null without a second address
  std::unique_ptr<Admin> admin_;                     // null without a second address
  Calls calls_;
  std::int64_t generation_ = 0;
  Micros news_taken_ = 0;           // when the watch was last read before a decision
  bool taking_ = false;             // clients
  asio::steady_timer start_timer_;  // while it waits for a list before it takes them
  sidecar::Drain drain_;
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_SIDECAR_HPP_
