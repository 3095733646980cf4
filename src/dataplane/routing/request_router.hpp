// The life of one request in the sidecar: route, backend, server, attempts and retries, final response.
#ifndef VIOLETWING_DATAPLANE_ROUTING_REQUEST_ROUTER_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_REQUEST_ROUTER_HPP_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "control/configuration/reader.hpp"
#include "dataplane/ingress/client_connection.hpp"
#include "dataplane/load_balancing/request_attributes.hpp"
#include "dataplane/routing/attempt.hpp"
#include "dataplane/routing/authentication.hpp"
#include "dataplane/routing/data_plane.hpp"
#include "dataplane/routing/end_reason.hpp"

namespace violetwing {

/// Routes one request. It owns itself by its handlers until it has finished, and runs on the thread of
/// `plane.io`; `plane` must outlive it. Each request ends once, with one EndReason.
///
/// A response of 503 promises that the request was not executed and will not be; if a server may have
/// executed it and it is not idempotent, the client gets 502 or 504 instead.
class RequestRouter : public std::enable_shared_from_this<RequestRouter> {
 public:
  /// Takes the directory that `plane` has now.
  RequestRouter(DataPlane& plane, ClientPtr client, ClientRequest request);
  /// Begins; call once, on an object owned by a shared_ptr.
  void Start();
  /// There is a new directory: a request that waits for a model tries again.
  void OnDirectory();
  /// Reports again that the request waits for its model, as a message to the control plane may be lost.
  void ReportDemand() { CountDemand(ModelState::kMissing); }

 private:
  using Clock = std::chrono::steady_clock;
  enum class ModelState { kAvailable, kMissing };
  enum class RetryCost { kFree, kFromBudget };
  struct Status {
    int code;
    const char* phrase;
  };
  static constexpr Status kUnauthorized{401, "Unauthorized"};
  static constexpr Status kNotFound{404, "Not Found"};
  static constexpr Status kBadGateway{502, "Bad Gateway"};
  static constexpr Status kServiceUnavailable{503, "Service Unavailable"};
  static constexpr Status kGatewayTimeout{504, "Gateway Timeout"};
  static constexpr double kDefaultRetryAfterS = 0.05;

  bool FindRoute();
  // Identifies the tenant. False if the request may not be executed: it has then ended.
  bool Authorize();
  // Ends a request that the configuration of this sidecar does not allow: a newer one might.
  void RefuseByConfiguration(const Status& status, EndReason reason);
  void StartDeadline();
  const configuration::Backend* PickBackend();
  void ReadAttributes();
  void CountDemand(ModelState state);

  void Dispatch();
  void WaitForModel();
  void Send(const Instance& instance);

  // Events of the attempt in flight.
  void OnHead(const ResponseHead& head);
  void CountUsage();
  void OnData(std::string_view data);
  void OnExchangeEnd(ExchangeEnd end);
  void OnComplete();
  void OnReset();
  void OnRejected(AttemptResult result);
  void EndAttempt(AttemptResult result);
  void CancelAttempt();

  void RetryOrReject();
  void RetryOrFail();
  // False if no further attempt is allowed or would be in time.
  bool ScheduleRetry(RetryCost cost);

  // Final responses. Reject promises that the request was not executed; `retry_after_s`: when the client may
  // be served, as far as that is known.
  void Reject(EndReason reason, double retry_after_s = kDefaultRetryAfterS);
  void Fail(const Status& status, EndReason reason);
  void OnDeadline();
  void OnClientDisconnected();
  void Finish(EndReason reason);
  void LogFinished(EndReason reason) const;

  bool IsIdempotent() const { return route_->Repeatable(); }
  std::int64_t RemainingMs() const;

  DataPlane& plane_;
  ClientPtr client_;
  ClientRequest request_;
  DirectoryPtr directory_;  // of the request's start: owns the route
  const configuration::Route* route_ = nullptr;
  const configuration::Backend* backend_ = nullptr;
  const configuration::Tenant* tenant_ = nullptr;  // null on public routes, and without tenants
  std::string request_id_;
  std::vector<PromptPart> prompt_parts_;
  RequestAttributes attributes_;
  double prefill_equivalent_tokens_ = 0;  // TokenCounts::PrefillEquivalent
  Clock::time_point deadline_;
  boost::asio::steady_timer deadline_timer_;
  boost::asio::steady_timer backoff_timer_;  // also limits the wait for a model

  Attempt attempt_;
  AttemptCounter attempt_counter_;
  bool may_have_executed_ = false;
  bool demand_counted_ = false;
  bool waited_for_model_ = false;
  bool finished_ = false;
};

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_ROUTING_REQUEST_ROUTER_HPP_
