#include "dataplane/routing/request_router.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdio>
#include <limits>
#include <utility>

#include "common/steady_time.hpp"

namespace violetwing {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Answers are given up so long before the client gives up, so that it has them in time.
constexpr milliseconds kMargin{15};
// A request whose first byte has not come after so long tells of its server when it is given up.
constexpr milliseconds kSilentAfter{1500};
// Bytes that a client may be behind before its server is read no further.
constexpr std::size_t kMostUnsent = 262'144;
// Requests that wait for a model, beyond the time that its load takes.
constexpr double kHoldSlackMs = 900;
// Of a request's time, what is kept for its answer when it is held without a server.
constexpr double kAnswerMs = 300;
// Clients give a stream up after the longest of these without an event.
constexpr double kLeastPatienceMs = 2000;
constexpr double kPatienceAims = 4;
constexpr double kPatienceGaps = 8;
// Servers that are tried one after the other when none of them takes a connection.
constexpr int kMostUnreachable = 3;
// Until a sidecar that has just started, or a control plane that has, knows of the system again.
constexpr double kStartS = 1.2;
constexpr double kRetryAfterSpreadS = 0.2;
// A token that is put out takes as long as so many that are read.
constexpr double kReadPerPutOut = 10;

ServerLoad ParseLoad(const std::string& text) {
  ServerLoad load;
  std::sscanf(text.c_str(), "%d,%d,%d", &load.running, &load.waiting, &load.slots);
  return load;
}

// How long a client waits for the first event of a stream, as the platform's clients do; for other requests
// until their deadline.
double PatienceMs(const configuration::Route& route) {
  if (route.type != configuration::RouteType::kStreaming) return std::numeric_limits<double>::infinity();
  return std::max(
      {kLeastPatienceMs, kPatienceAims * route.target_latency_ms, kPatienceGaps * route.gap_aim_ms});
}

bool Promises(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

}  // namespace

RequestRouter::RequestRouter(DataPlane& plane, ClientPtr client, ClientRequest request)
    : plane_(plane),
      client_(std::move(client)),
      request_(std::move(request)),
      directory_(plane.directory),
      deadline_timer_(plane.io),
      pause_(plane.io) {}

std::int64_t RequestRouter::LeftMs() const {
  return duration_cast<milliseconds>(deadline_ - Clock::now()).count();
}

void RequestRouter::Start() {
  client_->on_gone = [self = shared_from_this()] { self->OnClientGone(); };
  if (!directory_->HasConfiguration()) return Refuse("no configuration yet", kStartS);
  if (!FindRoute()) return Fail(404, "Not Found", "no route");
  double left = std::min(ParseNumber(FindField(request_.fields, field::kDeadline), route_->timeout_ms),
                         route_->timeout_ms);
  if (!(left > 0)) left = 0;
  deadline_ = request_.arrived + microseconds(static_cast<std::int64_t>(left * 1000)) - kMargin;
  deadline_timer_.expires_at(deadline_);
  deadline_timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (!error) self->OnDeadline();
  });
  backend_ = PickBackend();
  if (backend_ == nullptr) return Refuse("no service");
  ReadAttributes();
  plane_.budget.OnRequest(backend_->name, SteadyMicros());
  Dispatch();
}

bool RequestRouter::FindRoute() {
  route_ = directory_->routes().Match(request_.host, request_.target);
  return route_ != nullptr;
}

const configuration::Backend* RequestRouter::PickBackend() {
  double sum = 0;
  for (const configuration::Share& share : route_->shares) sum += share.weight;
  double at = plane_.random.Uniform() * sum;
  const configuration::Share* picked = nullptr;
  for (const configuration::Share& share : route_->shares) {
    if (share.weight <= 0) continue;
    picked = &share;
    at -= share.weight;
    if (at < 0) break;
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
  double prompt = 0;
  double most_out = 0;
  if (const std::string* count = FindField(request_.fields, field::kTokenCount))
    std::sscanf(count->c_str(), "%lf,%lf", &prompt, &most_out);
  tokens_ = prompt + kReadPerPutOut * most_out;
  attributes_.prompt_tokens = prompt;
  if (const std::string* parts = FindField(request_.fields, field::kPromptPrefix)) {
    parts_ = ParsePromptParts(*parts);
    attributes_.prompt_parts = &parts_;
  }
}

void RequestRouter::CountDemand(bool waiting) {
  if (attributes_.model.empty() || plane_.link == nullptr) return;
  ModelDemand demand;
  demand.backend = backend_->name;
  demand.model =
      attributes_.adapter.empty() ? attributes_.model : attributes_.model + "/" + attributes_.adapter;
  if (!std::exchange(demanded_, true)) {
    demand.requests = 1;
    demand.tokens = tokens_;
  }
  demand.waiting = waiting ? 1 : 0;
  plane_.link->CountDemand(demand, waiting);
}

// ---- Attempts ----

void RequestRouter::Dispatch() {
  if (over_) return;
  const DirectoryPtr now = plane_.directory;
  const bool models = backend_->runtime != nullptr && !attributes_.model.empty();
  const std::vector<const Instance*> candidates =
      models ? now->ServersWithModel(backend_->name, attributes_.model, attributes_.adapter)
             : now->Servers(backend_->name);
  const Instance* instance = plane_.load_balancer.PickServer(candidates, *now, attributes_, SteadyMicros());
  if (instance == nullptr) {
    if (models && !now->Servers(backend_->name).empty()) return Hold();
    return Refuse("no server", kStartS / 2);
  }
  CountDemand(false);
  plane_.waiting.erase(shared_from_this());
  Send(*instance);
}

// Waits until a server has the model: the placer is told, and a new directory tells when it is there.
void RequestRouter::Hold() {
  if (std::exchange(held_, true)) {
    plane_.waiting.insert(shared_from_this());
    return;
  }
  double load_ms = -1;
  for (const configuration::Model& model : backend_->runtime->models)
    if (model.name == attributes_.model) load_ms = model.load_time_s * 1000;
  if (load_ms < 0) return Refuse("no such model");
  CountDemand(true);
  const double left = std::min(static_cast<double>(LeftMs()), PatienceMs(*route_));
  const double hold = std::min(load_ms * 1.5 + kHoldSlackMs, left - kAnswerMs);
  if (attributes_.adapter.empty() && hold < load_ms)
    return Refuse("no server has the model, and its load takes too long");
  plane_.waiting.insert(shared_from_this());
  pause_.expires_after(microseconds(static_cast<std::int64_t>(hold * 1000)));
  pause_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (!error && self->exchange_ == nullptr) self->Refuse("no server has the model yet", kStartS / 2);
  });
}

void RequestRouter::OnDirectory() {
  if (!over_ && exchange_ == nullptr) Dispatch();
}

std::string RequestRouter::RequestText(const Instance& instance) const {
  std::string text;
  text.reserve(request_.body.size() + 1024);
  text += request_.method + " " + request_.target + " HTTP/1.1\r\n";
  for (const Field& one : request_.fields) {
    if (SameName(one.name, field::kDeadline) || SameName(one.name, field::kExpectedInstance) ||
        SameName(one.name, "Expect"))
      continue;
    AppendField(text, one.name, one.value);
  }
  AppendField(text, field::kDeadline, std::to_string(std::max<std::int64_t>(LeftMs(), 1)));
  AppendField(text, field::kExpectedInstance, instance.id);
  if (request_.has_length || !request_.body.empty())
    AppendField(text, "Content-Length", std::to_string(request_.body.size()));
  text += "\r\n";
  text += request_.body;
  return text;
}

void RequestRouter::Send(const Instance& instance) {
  pause_.cancel();
  server_ = instance.id;
  sent_at_ = Clock::now();
  answered_ = refused_ = wrong_server_ = false;
  ++attempts_;
  attributes_.attempted_servers.push_back(instance.id);
  plane_.load_balancer.OnSent(server_, attributes_, SteadyMicros());
  UpstreamExchange::Request request;
  request.instance = instance.id;
  request.address = instance.address;
  request.request_id = request_id_;
  request.text = RequestText(instance);
  request.head_only = request_.method == "HEAD";
  UpstreamExchange::Events events;
  events.on_head = [self = shared_from_this()](const AnswerHead& head) { self->OnHead(head); };
  events.on_data = [self = shared_from_this()](std::string_view piece) { self->OnData(piece); };
  events.on_end = [self = shared_from_this()](ExchangeEnd end) { self->OnEnd(end); };
  exchange_ = plane_.pool.Start(std::move(request), std::move(events));
}

void RequestRouter::OnHead(const AnswerHead& head) {
  const Micros now = SteadyMicros();
  if (const std::string* load = FindField(head.fields, field::kServerLoad))
    plane_.load_balancer.OnLoadReported(server_, ParseLoad(*load), now);
  if (!std::exchange(answered_, true))
    plane_.load_balancer.OnFirstByte(
        server_, attributes_, head.status == 200 ? FirstByteKind::kExecuting : FirstByteKind::kOther, now);
  first_byte_at_ = Clock::now();
  const bool not_run = FindField(head.fields, field::kNotExecuted) != nullptr || head.status == 421;
  if (not_run && Promises(head.status)) {
    refused_ = true;  // decided once its answer is read, so that its connection can serve again
    wrong_server_ = head.status == 421;
    if (wrong_server_) attributes_.attempted_servers.clear();
    return;
  }
  may_have_run_ = true;
  if (Promises(head.status) && !Repeatable()) {
    // It says nothing of not having run: passed on, its status would promise the client just that.
    exchange_->Cancel();
    EndAttempt(AttemptResult::kError);
    return Fail(502, "Bad Gateway", "the server failed");
  }
  client_->on_drained = [self = shared_from_this()] {
    if (self->exchange_ != nullptr) self->exchange_->Resume();
  };
  client_->SendHead(head.status, head.reason, head.fields, head.length, head.bodiless);
}

void RequestRouter::OnData(std::string_view piece) {
  if (refused_ || over_) return;
  client_->SendData(piece);
  if (client_->unsent() > kMostUnsent && exchange_ != nullptr) exchange_->Pause();
}

void RequestRouter::EndAttempt(AttemptResult result) {
  exchange_.reset();
  plane_.load_balancer.OnEnd(server_, result, attributes_, answered_, SteadyMicros());
}

void RequestRouter::OnEnd(ExchangeEnd end) {
  if (over_) return;
  switch (end) {
    case ExchangeEnd::kUnreachable:
      EndAttempt(AttemptResult::kUnreachable);
      --attempts_;
      ++unreachable_;
      return RetryOrRefuse();
    case ExchangeEnd::kComplete:
      if (refused_) {
        EndAttempt(wrong_server_ ? AttemptResult::kWrongServer : AttemptResult::kRejected);
        ++refusals_;
        return RetryOrRefuse();
      }
      EndAttempt(AttemptResult::kServed);
      outcome_ = "served";
      client_->Finish();
      return End();
    case ExchangeEnd::kReset:
      if (refused_) {  // its head has said that it was not run
        EndAttempt(AttemptResult::kRejected);
        ++refusals_;
        return RetryOrRefuse();
      }
      may_have_run_ = true;
      EndAttempt(AttemptResult::kReset);
      if (client_->head_sent()) {
        outcome_ = "the server broke off";
        client_->Abort();
        return End();
      }
      return RetryOrFail();
  }
}

// Waits as the design has it, if another attempt is allowed and can come in time.
bool RequestRouter::WaitToRetry(bool arrived) {
  const int most = std::min(kMaxAttempts, route_->max_attempts);
  if (attempts_ >= most || unreachable_ >= kMostUnreachable) return false;
  const Micros wait = RetryBackoff(refusals_, plane_.random);
  if (wait / 1000 + 5 >= LeftMs()) return false;
  if (arrived && !plane_.budget.Spend(backend_->name, plane_.directory->sidecars(), SteadyMicros()))
    return false;
  pause_.expires_after(microseconds(wait));
  pause_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (!error) self->Dispatch();
  });
  return true;
}

void RequestRouter::RetryOrRefuse() {
  if (may_have_run_ && !Repeatable()) return Fail(502, "Bad Gateway", "the server failed");
  if (!WaitToRetry(attempts_ > 0)) Refuse("no server has taken it");
}

void RequestRouter::RetryOrFail() {
  if (!Repeatable() || !WaitToRetry(true)) Fail(502, "Bad Gateway", "the server failed");
}

// ---- Final answers ----

void RequestRouter::Refuse(const char* why, double come_back_s) {
  outcome_ = why;
  if (may_have_run_ && route_ != nullptr && !Repeatable()) return Fail(502, "Bad Gateway", why);
  char seconds[32];
  std::snprintf(seconds, sizeof seconds, "%.3f", come_back_s + kRetryAfterSpreadS * plane_.random.Uniform());
  client_->Answer(503, "Service Unavailable", {{"Retry-After", seconds}}, std::string(why) + "\n");
  End();
}

void RequestRouter::Fail(int status, const char* reason, const char* why) {
  outcome_ = why;
  client_->Answer(status, reason, {}, std::string(why) + "\n");
  End();
}

void RequestRouter::OnDeadline() {
  if (over_) return;
  const bool sent = exchange_ != nullptr && exchange_->sent();
  if (exchange_ != nullptr) {
    exchange_->Cancel();
    const bool silent = !answered_ && Clock::now() - sent_at_ > kSilentAfter;
    EndAttempt(silent ? AttemptResult::kTimedOut : AttemptResult::kCancelled);
  }
  if (client_->head_sent()) {
    outcome_ = "its time was over midway";
    client_->Abort();
    return End();
  }
  may_have_run_ = may_have_run_ || sent;
  if (may_have_run_) return Fail(504, "Gateway Timeout", "no answer in time");
  Refuse("no server had room in time");
}

void RequestRouter::OnClientGone() {
  if (over_) return;
  outcome_ = "the client left";
  if (exchange_ != nullptr) {
    exchange_->Cancel();
    const bool silent = !answered_ && Clock::now() - sent_at_ > kSilentAfter;
    EndAttempt(silent ? AttemptResult::kTimedOut : AttemptResult::kCancelled);
  }
  End();
}

// One line a request, in milliseconds since it came; off unless the level is debug.
void RequestRouter::LogEnd() const {
  if (!spdlog::should_log(spdlog::level::debug)) return;
  const auto since = [&](Clock::time_point at) {
    return at == Clock::time_point() ? -1 : duration_cast<milliseconds>(at - request_.arrived).count();
  };
  spdlog::debug(
      "request {} route {} model {}/{} server {} attempts {} sent {} first_byte {} end {}: {}; to read "
      "{:.0f} ms before, {:.0f} ms own",
      request_id_, route_ == nullptr ? "-" : route_->name, attributes_.model, attributes_.adapter, server_,
      attempts_, since(sent_at_), since(first_byte_at_), since(Clock::now()), outcome_,
      attributes_.queued_prefill_ms, attributes_.uncached_prefill_ms);
}

void RequestRouter::End() {
  if (std::exchange(over_, true)) return;
  LogEnd();
  deadline_timer_.cancel();
  pause_.cancel();
  plane_.waiting.erase(shared_from_this());
  client_->on_gone = nullptr;
  client_->on_drained = nullptr;
}

}  // namespace violetwing
