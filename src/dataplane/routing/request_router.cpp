#include "dataplane/routing/request_router.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <optional>
#include <utility>

#include "common/steady_time.hpp"
#include "dataplane/routing/request_deadline.hpp"
#include "dataplane/routing/upstream_request.hpp"

namespace violetwing {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// An attempt that is canceled after this time without a first byte counts as a failure of its server.
constexpr milliseconds kFirstByteTimeout{1500};
// A retry is scheduled only if more than this time remains for it before the deadline.
constexpr std::int64_t kMinAttemptMs = 5;
// Time in which a sidecar or control process recovers its state after a start.
constexpr double kStartupS = 1.2;
// Spreads the retries of clients that are rejected at the same time.
constexpr double kRetryAfterJitterS = 0.2;

// Statuses that, by HTTP or by the clients' protocol, may mean that the request was not executed.
bool MayMeanNotExecuted(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

Rejection GetRejection(const ResponseHead& head) {
  if (head.status == 421) return Rejection::kWrongServer;
  const bool not_executed = FindField(head.fields, field::kNotExecuted) != nullptr;
  return not_executed && MayMeanNotExecuted(head.status) ? Rejection::kServerBusy : Rejection::kNone;
}

const configuration::Model* FindModel(const configuration::Backend& backend, const std::string& name) {
  const configuration::Model* found = nullptr;
  for (const configuration::Model& model : backend.runtime->models)
    if (model.name == name) found = &model;
  return found;
}

// Whether the configuration has the adapter: those of a model are named a1, a2 and so on (PROTOCOL.md, "Model
// placement"). An empty name stands for the model alone.
bool HasAdapter(const configuration::Model& model, const std::string& adapter) {
  if (adapter.empty()) return true;
  int number = 0;
  const char* const end = adapter.data() + adapter.size();
  const auto [parsed_to, error] = std::from_chars(adapter.data() + 1, end, number);
  return adapter[0] == 'a' && error == std::errc() && parsed_to == end && number >= 1 &&
         number <= model.adapters;
}

}  // namespace

RequestRouter::RequestRouter(DataPlane& plane, ClientPtr client, ClientRequest request)
    : plane_(plane),
      client_(std::move(client)),
      request_(std::move(request)),
      directory_(plane.directory),
      deadline_timer_(plane.io),
      backoff_timer_(plane.io) {}

std::int64_t RequestRouter::RemainingMs() const {
  return duration_cast<milliseconds>(deadline_ - Clock::now()).count();
}

// ---- Route, backend, attributes ----

void RequestRouter::Start() {
  client_->on_disconnect = [self = shared_from_this()] { self->OnClientDisconnected(); };
  plane_.in_flight.insert(shared_from_this());
  if (!directory_->HasConfiguration()) return Reject(EndReason::kNoConfiguration, kStartupS);
  if (!FindRoute()) return DenyByConfiguration(kNotFound, EndReason::kNoRoute);
  if (!Authorize()) return;
  StartDeadline();
  backend_ = PickBackend();
  if (backend_ == nullptr) return Reject(EndReason::kNoBackend);
  ReadAttributes();
  plane_.retry_budget.OnRequest(backend_->name, SteadyMicros());
  Dispatch();
}

bool RequestRouter::FindRoute() {
  route_ = directory_->routes().Match(request_.host, request_.target);
  return route_ != nullptr;
}

bool RequestRouter::Authorize() {
  const Authentication result = Authenticate(directory_->api_keys(), *route_, request_.fields);
  tenant_ = result.tenant;
  if (result.status == Authentication::Status::kUnknownKey) {
    DenyByConfiguration(kUnauthorized, EndReason::kUnknownKey);
    return false;
  }
  const bool is_trusted =
      tenant_ == nullptr || plane_.link == nullptr || plane_.link->MayTrustKeys(SteadyMicros());
  if (is_trusted) return true;
  tenant_ = nullptr;
  if (route_->is_public) return true;
  Reject(EndReason::kOutOfTouch);
  return false;
}

void RequestRouter::DenyByConfiguration(const Status& status, EndReason reason) {
  if (plane_.link != nullptr && !plane_.link->HasRecentQuorumAnswer(SteadyMicros()))
    return Reject(EndReason::kOutOfTouch);
  Fail(status, reason);
}

void RequestRouter::StartDeadline() {
  deadline_ = RequestDeadline(request_, *route_);
  deadline_timer_.expires_at(deadline_);
  deadline_timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (!error) self->OnDeadline();
  });
}

// Picks one of the route's backends at random, in proportion to their weights.
const configuration::Backend* RequestRouter::PickBackend() {
  double total_weight = 0;
  for (const configuration::Share& share : route_->shares) total_weight += share.weight;
  double remaining_weight = plane_.random.Uniform() * total_weight;
  const configuration::Share* picked = nullptr;
  for (const configuration::Share& share : route_->shares) {
    if (share.weight <= 0) continue;
    picked = &share;
    remaining_weight -= share.weight;
    if (remaining_weight < 0) break;
  }
  return picked == nullptr ? nullptr : directory_->FindBackend(picked->backend);
}

void RequestRouter::ReadAttributes() {
  if (const std::string* id = FindField(request_.fields, field::kRequestId)) request_id_ = *id;
  if (backend_->runtime == nullptr) return;
  if (const std::string* model = FindField(request_.fields, field::kModel)) {
    const std::size_t slash = model->find('/');
    attributes_.model = model->substr(0, slash);
    if (slash != std::string::npos) attributes_.adapter = model->substr(slash + 1);
  }
  TokenCounts tokens;
  if (const std::string* text = FindField(request_.fields, field::kTokenCount))
    tokens = ParseTokenCounts(*text);
  prefill_equivalent_tokens_ = tokens.PrefillEquivalent();
  attributes_.prompt_tokens = tokens.prompt;
  if (const std::string* parts = FindField(request_.fields, field::kPromptPrefix)) {
    prompt_parts_ = ParsePromptParts(*parts);
    attributes_.prompt_parts = &prompt_parts_;
  }
}

// Counts the request itself only once, but its wait for the model on each call.
void RequestRouter::CountDemand(ModelState state) {
  if (attributes_.model.empty() || plane_.link == nullptr) return;
  const bool waiting = state == ModelState::kMissing;
  ModelDemand demand;
  demand.backend = backend_->name;
  demand.model = attributes_.WeightsKey();
  if (!std::exchange(demand_counted_, true)) {
    demand.requests = 1;
    demand.tokens = prefill_equivalent_tokens_;
  }
  demand.waiting = waiting ? 1 : 0;
  plane_.link->CountDemand(demand, waiting ? DemandUrgency::kImmediate : DemandUrgency::kDeferred);
}

// ---- Attempts ----

void RequestRouter::Dispatch() {
  if (finished_) return;
  if (!MayBeginAttempt()) return Reject(EndReason::kShuttingDown);
  const DirectoryPtr directory = plane_.directory;  // the latest, for this attempt
  const bool needs_model = backend_->runtime != nullptr && !attributes_.model.empty();
  const std::vector<const Instance*> candidates =
      needs_model ? directory->ServersWithModel(backend_->name, attributes_.model, attributes_.adapter)
                  : directory->Servers(backend_->name);
  const Instance* instance =
      plane_.load_balancer.PickServer(candidates, *directory, attributes_, SteadyMicros());
  if (instance == nullptr) {
    if (needs_model && !directory->Servers(backend_->name).empty()) return WaitForModel();
    return Reject(EndReason::kNoServer, kStartupS / 2);
  }
  CountDemand(ModelState::kAvailable);
  plane_.waiting_for_model.erase(shared_from_this());
  Send(*instance);
}

// Reports the demand to the control plane and waits for a directory in which a server has the model.
void RequestRouter::WaitForModel() {
  if (std::exchange(waited_for_model_, true)) {
    plane_.waiting_for_model.insert(shared_from_this());
    return;
  }
  const configuration::Model* model = FindModel(*backend_, attributes_.model);
  if (model == nullptr || model->load_time_s < 0 || !HasAdapter(*model, attributes_.adapter))
    return Reject(EndReason::kUnknownModel);
  const double load_ms = model->load_time_s * 1000;
  CountDemand(ModelState::kMissing);
  const double remaining_ms = std::min(static_cast<double>(RemainingMs()), FirstEventTimeoutMs(*route_));
  const double wait_ms = MaxModelWaitMs(load_ms, remaining_ms);
  // The load time applies to models. That of an adapter alone is unknown, so requests for adapters always
  // wait.
  if (attributes_.adapter.empty() && wait_ms < load_ms) return Reject(EndReason::kModelLoadTooSlow);
  plane_.waiting_for_model.insert(shared_from_this());
  backoff_timer_.expires_after(microseconds(static_cast<std::int64_t>(wait_ms * 1000)));
  backoff_timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (!error && !self->attempt_.InFlight()) self->Reject(EndReason::kModelNotLoaded, kStartupS / 2);
  });
}

void RequestRouter::OnDirectory() {
  if (!finished_ && !attempt_.InFlight()) Dispatch();
}

void RequestRouter::Send(const Instance& instance) {
  backoff_timer_.cancel();
  attempt_.server = instance.id;
  attempt_.sent_at = Clock::now();
  attempt_.first_byte_received = false;
  attempt_.rejection = Rejection::kNone;
  attempt_counter_.OnSent();
  attributes_.attempted_servers.push_back(instance.id);
  plane_.load_balancer.OnSent(instance.id, attributes_, SteadyMicros());
  UpstreamExchange::Request request;
  request.instance = instance.id;
  request.address = instance.address;
  request.request_id = request_id_;
  const UpstreamIdentity identity{directory_->api_keys().IsRequired(),
                                  tenant_ == nullptr ? std::string() : tenant_->name};
  request.head = BuildUpstreamHead(request_, instance.id, RemainingMs(), identity);
  request.body = std::shared_ptr<const std::string>(shared_from_this(), &request_.body);
  request.head_only = request_.method == "HEAD";
  request.may_send = [&plane = plane_, id = instance.id] {
    const Instance* latest = plane.directory->Find(id);
    return latest != nullptr && !IsLeaving(latest->phase);
  };
  UpstreamExchange::Events events;
  events.on_head = [self = shared_from_this()](const ResponseHead& head) { self->OnHead(head); };
  events.on_data = [self = shared_from_this()](std::string_view data) { self->OnData(data); };
  events.on_end = [self = shared_from_this()](ExchangeEnd end) { self->OnExchangeEnd(end); };
  attempt_.exchange = plane_.pool.Start(std::move(request), std::move(events));
}

void RequestRouter::OnHead(const ResponseHead& head) {
  const Micros now = SteadyMicros();
  if (const std::string* load = FindField(head.fields, field::kServerLoad))
    plane_.load_balancer.OnLoadReported(attempt_.server, ParseServerLoad(*load), now);
  const FirstByteKind kind = head.status == 200 ? FirstByteKind::kExecuting : FirstByteKind::kOther;
  if (!std::exchange(attempt_.first_byte_received, true))
    plane_.load_balancer.OnFirstByte(attempt_.server, attributes_, kind, now);
  attempt_.first_byte_at = Clock::now();
  attempt_.rejection = GetRejection(head);
  // A wrong server shows that the directory is outdated: servers attempted before may be picked again.
  if (attempt_.rejection == Rejection::kWrongServer) attributes_.attempted_servers.clear();
  // The retry waits for the complete response, so that the connection can be reused.
  if (attempt_.IsRejected()) return;
  may_have_executed_ = true;
  CountUsage();
  if (MayMeanNotExecuted(head.status) && !IsIdempotent()) {
    // The server does not guarantee that it did not execute the request, but the client would take the status
    // as such a guarantee.
    attempt_.exchange->Cancel();
    EndAttempt(AttemptResult::kError);
    return Fail(kBadGateway, EndReason::kServerFailed);
  }
  client_->on_drained = [self = shared_from_this()] {
    if (self->attempt_.InFlight()) self->attempt_.exchange->Resume();
  };
  client_->SendHead(head.status, head.reason, head.fields, head.length, head.bodiless);
}

// Counts the request from when the server begins to execute it: a stream from the start of its response, any
// other request from when it was sent.
void RequestRouter::CountUsage() {
  if (tenant_ == nullptr || plane_.link == nullptr) return;
  const bool streaming = route_->type == configuration::RouteType::kStreaming;
  const Clock::time_point began_at = streaming ? Clock::now() : attempt_.sent_at;
  plane_.link->CountUsage(tenant_->name, duration_cast<microseconds>(began_at.time_since_epoch()).count());
}

void RequestRouter::OnData(std::string_view data) {
  if (attempt_.IsRejected() || finished_) return;
  client_->SendData(data);
  if (client_->output_full() && attempt_.InFlight()) attempt_.exchange->Pause();
}

void RequestRouter::OnExchangeEnd(ExchangeEnd end) {
  if (finished_) return;
  switch (end) {
    case ExchangeEnd::kUnreachable:
      EndAttempt(AttemptResult::kUnreachable);
      attempt_counter_.OnUnreachable();
      return RetryOrReject();
    case ExchangeEnd::kNotAllowed:
      spdlog::info("attempt not sent, server is draining or deregistered id={} upstream={}", request_id_,
                   attempt_.server);
      EndAttempt(AttemptResult::kCancelled);
      attempt_counter_.OnUnreachable();
      return RetryOrReject();
    case ExchangeEnd::kComplete:
      return OnComplete();
    case ExchangeEnd::kReset:
      return OnReset();
  }
}

void RequestRouter::OnComplete() {
  if (attempt_.rejection == Rejection::kWrongServer) return OnRejected(AttemptResult::kWrongServer);
  if (attempt_.IsRejected()) return OnRejected(AttemptResult::kRejected);
  EndAttempt(AttemptResult::kServed);
  client_->Finish();
  Finish(EndReason::kServed);
}

void RequestRouter::OnReset() {
  // The response head has already guaranteed that the request was not executed.
  if (attempt_.IsRejected()) return OnRejected(AttemptResult::kRejected);
  may_have_executed_ = true;
  EndAttempt(AttemptResult::kReset);
  if (!client_->head_sent()) return RetryOrFail();
  client_->Abort();
  Finish(EndReason::kResponseReset);
}

void RequestRouter::OnRejected(AttemptResult result) {
  EndAttempt(result);
  attempt_counter_.OnRejected();
  RetryOrReject();
}

void RequestRouter::EndAttempt(AttemptResult result) {
  attempt_.exchange.reset();
  plane_.load_balancer.OnEnd(attempt_.server, result, attributes_, attempt_.first_byte_received,
                             SteadyMicros());
}

void RequestRouter::CancelAttempt() {
  if (!attempt_.InFlight()) return;
  attempt_.exchange->Cancel();
  const bool timed_out = !attempt_.first_byte_received && Clock::now() - attempt_.sent_at > kFirstByteTimeout;
  EndAttempt(timed_out ? AttemptResult::kTimedOut : AttemptResult::kCancelled);
}

// ---- Retries ----

bool RequestRouter::MayBeginAttempt() const {
  return !plane_.drain || plane_.drain->MayBeginAttempt(request_.arrived, deadline_, Clock::now());
}

void RequestRouter::OnDrainStage() {
  if (finished_ || attempt_.InFlight() || client_->head_sent() || MayBeginAttempt()) return;
  Reject(EndReason::kShuttingDown);
}

bool RequestRouter::ScheduleRetry(RetryCost cost) {
  if (!attempt_counter_.MayRetry(route_->max_attempts) || !MayBeginAttempt()) return false;
  const Micros backoff = RetryBackoff(attempt_counter_.rejected(), plane_.random);
  if (backoff / 1000 + kMinAttemptMs >= RemainingMs()) return false;
  if (cost == RetryCost::kFromBudget &&
      !plane_.retry_budget.TrySpend(backend_->name, plane_.directory->sidecar_count(), SteadyMicros()))
    return false;
  backoff_timer_.expires_after(microseconds(backoff));
  backoff_timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (!error) self->Dispatch();
  });
  return true;
}

void RequestRouter::RetryOrReject() {
  if (may_have_executed_ && !IsIdempotent()) return Fail(kBadGateway, EndReason::kServerFailed);
  // If no attempt reached a server, the retry does not add load to the backend.
  const RetryCost cost = attempt_counter_.sent() > 0 ? RetryCost::kFromBudget : RetryCost::kFree;
  if (!ScheduleRetry(cost)) Reject(EndReason::kRetriesExhausted);
}

void RequestRouter::RetryOrFail() {
  if (!IsIdempotent() || !ScheduleRetry(RetryCost::kFromBudget)) Fail(kBadGateway, EndReason::kServerFailed);
}

// ---- End ----

void RequestRouter::Reject(EndReason reason, double retry_after_s) {
  if (may_have_executed_ && route_ != nullptr && !IsIdempotent()) return Fail(kBadGateway, reason);
  char seconds[32];
  std::snprintf(seconds, sizeof seconds, "%.3f",
                retry_after_s + kRetryAfterJitterS * plane_.random.Uniform());
  client_->Answer(kServiceUnavailable.code, kServiceUnavailable.phrase, {{"Retry-After", seconds}},
                  std::string(ResponseText(reason)) + "\n");
  Finish(reason);
}

void RequestRouter::Fail(const Status& status, EndReason reason) {
  FieldList fields;
  if (status.code == kUnauthorized.code) fields.push_back({"WWW-Authenticate", "Bearer"});
  client_->Answer(status.code, status.phrase, fields, std::string(ResponseText(reason)) + "\n");
  Finish(reason);
}

void RequestRouter::EndEarly(const EarlyEnd& reasons) {
  if (finished_) return;
  const bool sent = attempt_.InFlight() && attempt_.exchange->sent();
  CancelAttempt();
  if (client_->head_sent()) {
    client_->Abort();
    return Finish(reasons.during_response);
  }
  may_have_executed_ = may_have_executed_ || sent;
  if (may_have_executed_) return Fail(kGatewayTimeout, reasons.may_have_executed);
  Reject(reasons.not_executed);
}

void RequestRouter::OnDeadline() {
  EndEarly({EndReason::kNoCapacityInTime, EndReason::kDeadlineExceeded, EndReason::kDeadlineDuringResponse});
}

void RequestRouter::EndAtShutdown() {
  if (!finished_) LogEndedAtShutdown();
  EndEarly({EndReason::kShuttingDown, EndReason::kShuttingDown, EndReason::kCutOffAtShutdown});
}

void RequestRouter::OnClientDisconnected() {
  if (finished_) return;
  CancelAttempt();
  Finish(EndReason::kClientDisconnected);
}

void RequestRouter::Finish(EndReason reason) {
  if (std::exchange(finished_, true)) return;
  LogFinished(reason);
  deadline_timer_.cancel();
  backoff_timer_.cancel();
  plane_.waiting_for_model.erase(shared_from_this());
  plane_.in_flight.erase(shared_from_this());
  client_->on_disconnect = nullptr;
  client_->on_drained = nullptr;
}

void RequestRouter::LogEndedAtShutdown() const {
  const auto age = duration_cast<milliseconds>(Clock::now() - request_.arrived);
  const char* stage = "waiting";
  if (attempt_.InFlight()) stage = attempt_.exchange->sent() ? "sent" : "connecting";
  if (client_->head_sent()) stage = "responding";
  spdlog::warn("request ended at shutdown id={} age_ms={} stage={} attempts={} upstream={}", request_id_,
               age.count(), stage, attempt_counter_.sent(), attempt_.server);
}

// Logs one line per request, at debug level only. Times are in ms since the request arrived.
void RequestRouter::LogFinished(EndReason reason) const {
  if (!spdlog::should_log(spdlog::level::debug)) return;
  const auto since_arrival_ms = [&](Clock::time_point at) {
    return at == Clock::time_point() ? -1 : duration_cast<milliseconds>(at - request_.arrived).count();
  };
  spdlog::debug(
      "request finished id={} route={} tenant={} model={} upstream={} attempts={} sent_ms={} "
      "first_byte_ms={} "
      "end_ms={} "
      "reason={} queued_prefill_ms={:.0f} uncached_prefill_ms={:.0f}",
      request_id_, route_ == nullptr ? "-" : route_->name, tenant_ == nullptr ? "-" : tenant_->name,
      attributes_.WeightsKey(), attempt_.server, attempt_counter_.sent(), since_arrival_ms(attempt_.sent_at),
      since_arrival_ms(attempt_.first_byte_at), since_arrival_ms(Clock::now()), Name(reason),
      attributes_.queued_prefill_ms, attributes_.uncached_prefill_ms);
}

}  // namespace violetwing
