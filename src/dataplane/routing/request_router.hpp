// Handles one request in the sidecar: route, backend, server, attempts and retries, final response.
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

/// Routes one request. Its handlers keep it alive until it has finished. It runs on the thread of `plane.io`;
/// `plane` must outlive it. Each request ends exactly once, with one EndReason.
///
/// A 503 response guarantees that the request was not executed and will not be. If a server may have executed
/// a request that is not idempotent, the client receives 502 or 504 instead.
class RequestRouter : public std::enable_shared_from_this<RequestRouter> {
 public:
  /// Routes with the current directory of `plane`; later attempts pick servers from the latest one.
  RequestRouter(DataPlane& plane, ClientPtr client, ClientRequest request);
  /// Starts routing. Call once, on an object owned by a shared_ptr.
  void Start();
  /// Handles a new directory: a request that waits for a model picks a server again.
  void OnDirectory();
  /// Reports again that the request waits for its model, as messages to the control plane may be lost.
  void ReportDemand() { CountDemand(ModelState::kMissing); }
  /// Rejects the request if it waits for an attempt that may not begin any more, as the sidecar shuts down.
  void OnDrainStage();
  /// Ends the request as the process is about to exit: with a response of the sidecar's own, or by cutting
  /// off a response that has begun.
  void EndAtShutdown();

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
  // Identifies the tenant. If the request is not allowed, ends it and returns false.
  bool Authorize();
  // Ends a request that the configuration does not allow: with `status` and `reason`, or with 503 if the
  // configuration may be outdated, as a newer one may allow the request.
  void DenyByConfiguration(const Status& status, EndReason reason);
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

  // False if the sidecar shuts down and an attempt could not be completed before that.
  bool MayBeginAttempt() const;
  void RetryOrReject();
  void RetryOrFail();
  // Returns false if no further attempt is allowed or fits before the deadline.
  bool ScheduleRetry(RetryCost cost);

  // Final responses. Reject guarantees that the request was not executed; `retry_after_s`: estimated time
  // until the client can be served.
  void Reject(EndReason reason, double retry_after_s = kDefaultRetryAfterS);
  void Fail(const Status& status, EndReason reason);
  // Reasons for which a request ends before its attempt has, by how far it had come.
  struct EarlyEnd {
    EndReason not_executed;
    EndReason may_have_executed;
    EndReason during_response;
  };
  void EndEarly(const EarlyEnd& reasons);
  void OnDeadline();
  void OnClientDisconnected();
  void Finish(EndReason reason);
  void LogFinished(EndReason reason) const;
  void LogEndedAtShutdown() const;

  bool IsIdempotent() const { return route_->Repeatable(); }
  std::int64_t RemainingMs() const;

  DataPlane& plane_;
  ClientPtr client_;
  ClientRequest request_;
  DirectoryPtr directory_;  // at the start of the request; owns *route_
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
