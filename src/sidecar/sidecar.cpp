#include "sidecar/sidecar.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <optional>
#include <utility>

#include "sidecar/stored_names.hpp"

namespace violetwing::sidecar {
namespace {

constexpr Micros kMs = 1000;

// Descriptors not used for clients and servers: standard streams, epoll and its helpers, listener, watch.
constexpr std::size_t kReservedSockets = 24;
constexpr std::size_t kAdminSockets = Admin::kMaxConnections + 2;  // in addition, with an admin address
// Idle connections are closed after this share of the time after which servers may close them. Otherwise a
// request could cross the server's close: it would be reset although it may have been executed.
constexpr double kIdleTimeoutShare = 0.7;
// The final response is sent this long before the client's deadline, as other sidecars share the core and a
// busy event loop runs late. For short deadlines the margin is limited to a share of the budget.
constexpr Micros kResponseMargin = 40 * kMs;
constexpr double kMaxMarginShare = 0.2;
// A process that replaces another must accept clients within 6 s. This is the maximum time that it waits for
// a fresh list first; the other process serves meanwhile.
constexpr Micros kMaxListWait = 4 * kSecond;
// Bodies may use 1 / this of the memory, and half of that if two processes share the memory during an
// upgrade. Connections need about as much again for their buffers, and half of the memory stays free.
constexpr std::size_t kBodyMemoryDivisor = 8;
// No deadline applies before the last byte of a long request body or after the first byte of a streamed
// response: both are limited by their progress instead.
constexpr Micros kNoDeadline = 3600 * kSecond;
// The watch is polled ahead of a decision if the last poll is older than 1 / this of the drain grace period.
constexpr Micros kPollsPerDrainGrace = 4;

std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::string_view View(beast::string_view text) { return {text.data(), text.size()}; }

// Value of the query parameter that names the object of a request; empty if it is missing.
std::string_view KeyOf(std::string_view target) {
  const std::string name = std::string(kKeyParameter) + "=";
  std::size_t at = target.find('?');
  while (at != std::string_view::npos) {
    const std::string_view rest = target.substr(at + 1);
    const std::string_view pair = rest.substr(0, rest.find('&'));
    if (pair.substr(0, name.size()) == name) return pair.substr(name.size());
    at = target.find('&', at + 1);
  }
  return {};
}

struct Shares {
  std::size_t clients;
  std::size_t servers;
};

// Divides the descriptors between clients and servers. During an upgrade over a passed socket two processes
// run at the same time: they divide the clients, which hold a third of the connections at most, between them,
// but each may use its full share for servers.
Shares DescriptorShares(const Config& config) {
  const std::size_t free = config.max_descriptors - kReservedSockets - (config.admin ? kAdminSockets : 0);
  if (!config.passed_socket) return {free / 2, free / 2};
  return {free / 2, free / 5};
}

std::shared_ptr<BufferBudget> BodyBudget(const Config& config) {
  const std::size_t share = config.passed_socket ? 2 * kBodyMemoryDivisor : kBodyMemoryDivisor;
  return std::make_shared<BufferBudget>(config.memory_mb * 1024 * 1024 / share);
}

Upstream::Limits UpstreamLimits(const Config& config) {
  Upstream::Limits limits;
  limits.idle_timeout = static_cast<Micros>(
      kIdleTimeoutShare * static_cast<double>(config.wire.settings.connection_idle_timeout));
  limits.dial_timeout = config.wire.settings.dial_timeout;
  limits.max_connections = DescriptorShares(config).servers;
  return limits;
}

// Offset from the steady clock to Unix time, taken once. If it were taken anew for each list, the start time
// of one server would keep changing, and the module takes a changed start time for a restart of the server,
// which is then treated as cold.
Micros ClockOffset() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const auto steady = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(wall - steady).count();
}

}  // namespace

bool Sidecar::Call::HasAttemptInFlight() const {
  return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; });
}

Sidecar::Sidecar(asio::io_context& io, Config config)
    : io_(io),
      config_(std::move(config)),
      clock_offset_(ClockOffset()),
      budget_(BodyBudget(config_)),
      metrics_(config_.wire.settings.classes),
      last_list_(config_.stores_list && !config_.state_directory.empty()
                     ? std::make_unique<LastList>(io, config_.state_directory, config_.wire)
                     : nullptr),
      upstream_(io, UpstreamLimits(config_), budget_,
                {[this] { metrics_.AttemptSent(); }, [this] { PollDiscovery(); }}),
      discovery_(io, config_.discovery, config_.wire,
                 Discovery::TimingFor(config_.wire.settings, config_.discovery.size()), config_.seed,
                 {ListValidator(),
                  [this](const EndpointList& list) {
                    OnList(list.complete ? ListUpdate::Kind::kFull : ListUpdate::Kind::kDelta, list);
                  },
                  [this] { OnDiscoveryFailed(); }}),
      start_timer_(io),
      drain_(io, config_.wire.settings, config_.passed_socket.has_value()) {
  std::string error;
  balancer_ = Balancer::Create(config_.wire.settings, config_.seed, Now(), *this, error);
  if (balancer_ == nullptr) throw ConfigError("settings: " + error);
}

Sidecar::~Sidecar() = default;

void Sidecar::Start() {
  Inbound::Events events;
  events.on_request = [this](const Inbound::SessionPtr& session, RequestHead head, const BodyPtr& body,
                             Micros waited) { OnRequest(session, std::move(head), body, waited); };
  events.on_client_disconnected = [this](const Inbound::SessionPtr& session) { OnClientClosed(session); };
  events.ready = [this] { return Ready(); };
  inbound_ = std::make_unique<Inbound>(io_, Listener(), DescriptorShares(config_).clients, budget_, events);
  if (config_.admin) {
    Admin::Events admin_events;
    admin_events.ready = events.ready;
    operator_orders_ = std::make_unique<OperatorOrders>(io_, config_.state_directory, config_.wire,
                                                        *balancer_, upstream_, [this] { return Now(); });
    admin_events.metrics = [this] {
      return metrics_.Text(balancer_->membership(Now())) + operator_orders_->ZoneMetrics();
    };
    admin_events.disable = [this](const std::string& server) {
      return operator_orders_->DisableServer(server);
    };
    admin_events.enable = [this](const std::string& server) {
      return operator_orders_->EnableServer(server);
    };
    admin_events.order_zone = [this](const std::string& zone, bool drains, Micros over) {
      return operator_orders_->OrderZone(zone, drains, over);
    };
    admin_ = std::make_unique<Admin>(io_, *config_.admin, std::move(admin_events));
    operator_orders_->Poll();
  }
  const bool awaits_list = IsSuccessor();
  OnList(ListUpdate::Kind::kStale, InitialList(), awaits_list);
  if (!config_.wire.settings.must_subscribe) discovery_.Watch(generation_);
  if (!awaits_list) return StartAccepting();
  start_timer_.expires_after(std::chrono::microseconds(kMaxListWait));
  start_timer_.async_wait([this](ErrorCode error) {
    if (!error) StartAccepting();
  });
}

Tcp::acceptor Sidecar::Listener() {
  if (!config_.passed_socket) return Tcp::acceptor(io_, config_.listen, /*reuse_addr=*/true);
  return Tcp::acceptor(io_, Tcp::v4(), *config_.passed_socket);
}

// True if another process has served on the passed socket and may still be running.
bool Sidecar::IsSuccessor() const {
  std::error_code ignored;
  return config_.passed_socket && !config_.state_directory.empty() &&
         std::filesystem::exists(std::filesystem::path(config_.state_directory) / stored_names::kServed,
                                 ignored);
}

void Sidecar::StartAccepting() {
  if (drain_.begun() || std::exchange(accepting_, true)) return;
  start_timer_.cancel();
  inbound_->Accept();
  if (config_.passed_socket && !config_.state_directory.empty())
    std::ofstream(std::filesystem::path(config_.state_directory) / stored_names::kServed);
}

bool Sidecar::Ready() const { return accepting_ && !drain_.begun() && upstream_.has_servers(); }

// ---- The clock and the list ----

Micros Sidecar::Now() const {
  const auto steady = std::chrono::steady_clock::now().time_since_epoch();
  return clock_offset_ + std::chrono::duration_cast<std::chrono::microseconds>(steady).count();
}

// The current time, after pending list updates have been applied. A process that was stopped, or whose event
// loop is late, handles clients' requests before a list that arrived after them, and would send one of them
// to a server that has drained long ago. Must not be called from the module's actions, as it may pass a list
// to the module.
Micros Sidecar::NowForDecision() {
  PollDiscovery();
  return Now();
}

void Sidecar::PollDiscovery() {
  const Micros now = Now();
  if (now - last_discovery_poll_ < config_.wire.settings.drain_grace / kPollsPerDrainGrace) return;
  last_discovery_poll_ = now;
  discovery_.ReadPending();
}

// Checks and stores each list received from discovery; empty if lists are not stored.
std::function<bool(const nlohmann::json&, std::string&)> Sidecar::ListValidator() {
  if (last_list_ == nullptr) return {};
  return [this](const nlohmann::json& list, std::string& reason) { return last_list_->Update(list, reason); };
}

// The initial list: the one of the configuration, or the copy in TMPDIR if that is newer.
EndpointList Sidecar::InitialList() {
  if (last_list_ == nullptr) return config_.initial_list;
  const auto kept = last_list_->Load(config_.initial_list_json);
  return kept ? *kept : config_.initial_list;
}

void Sidecar::OnList(ListUpdate::Kind kind, const EndpointList& list, bool awaits_list) {
  generation_ = list.generation;
  EndpointList applied = list;
  applied.complete = kind != ListUpdate::Kind::kDelta;
  upstream_.Apply(applied);
  std::vector<ServerInfo> servers;
  servers.reserve(list.endpoints.size());
  for (const Endpoint& endpoint : list.endpoints) servers.push_back(endpoint.info);
  balancer_->OnServers(Now(), {kind, list.generation, servers, awaits_list});
  if (kind != ListUpdate::Kind::kStale) StartAccepting();
}

void Sidecar::OnDiscoveryFailed() {
  if (config_.wire.settings.must_subscribe)
    balancer_->OnServers(Now(), {ListUpdate::Kind::kFailed, generation_, {}, !accepting_});
}

// ---- Requests ----

void Sidecar::OnRequest(const Inbound::SessionPtr& session, RequestHead head, const BodyPtr& body,
                        Micros waited) {
  const Settings& settings = config_.wire.settings;
  const std::string id(View(head[kIdHeader]));
  const int request_class = ClassIndex(View(head[kClassHeader]));
  if (id.empty()) return Inbound::Respond(session, TextResponse(http::status::bad_request, "no Req-Id\n"));
  if (request_class < 0)
    return Inbound::Respond(session, TextResponse(http::status::not_found, "unknown Req-Kind\n"));
  if (calls_.count(id) > 0)
    return Inbound::Respond(session, TextResponse(http::status::conflict, "Req-Id is in use\n"));
  Micros budget = settings.classes[static_cast<std::size_t>(request_class)].deadline;
  if (head.count(kDeadlineHeader) > 0) {
    const auto seconds = ParseNumber(View(head[kDeadlineHeader]));
    if (!seconds || *seconds < 0)
      return Inbound::Respond(session, TextResponse(http::status::bad_request, "Req-Deadline\n"));
    budget = static_cast<Micros>(std::min(*seconds, 86'400.0) * static_cast<double>(kSecond));
  }
  const Micros now = NowForDecision();
  budget -= std::min(kResponseMargin, static_cast<Micros>(kMaxMarginShare * static_cast<double>(budget)));
  budget = std::max<Micros>(budget - waited, 0);
  if (drain_.begun()) budget = std::min(budget, drain_.TimeUntilForcedResponses());

  Call& call = calls_[id];
  metrics_.RequestReceived();
  call.head = std::move(head);
  call.body = body;
  call.request_class = request_class;
  call.session = session;
  call.budget = budget;
  call.deadline = now + (body->ended() ? budget : kNoDeadline);
  call.timer = std::make_unique<asio::steady_timer>(io_);
  ScheduleTimer(id, call);
  if (!body->ended()) FollowBody(id, *body);

  violetwing::balancer::Request request;
  request.id = id;
  request.request_class = request_class;
  request.tenant = TenantIndex(View(call.head[kTenantHeader]));
  request.budget = budget;
  request.body_incomplete = !body->ended();
  request.is_retry = call.head[kRetryHeader] == "1";
  request.write = call.head.method() != http::verb::get;
  if (const auto cost = ParseNumber(View(call.head[kCostHeader])); cost && *cost >= 0 && *cost < 1e12)
    request.cost = static_cast<Micros>(*cost);
  const std::string key(KeyOf(View(call.head.target())));
  request.key = key;
  balancer_->OnRequest(now, request);
  EraseIfFinished(id);
}

// The callbacks post their work, as they may run during an action of the module, which must not be reentered.
void Sidecar::FollowBody(const std::string& id, Body& body) {
  body.on_discarded = [this, id] {
    asio::post(io_, [this, id] { balancer_->OnRequestBodyDiscarded(NowForDecision(), id); });
  };
  body.on_complete = [this, id] { asio::post(io_, [this, id] { OnBodyReceived(id); }); };
}

// The last byte of a long request has been received: its time limit starts now.
void Sidecar::OnBodyReceived(const std::string& id) {
  const Micros now = NowForDecision();
  const auto it = calls_.find(id);
  if (it == calls_.end() || it->second.session == nullptr) return;
  Call& call = it->second;
  call.deadline = now + call.budget;
  if (drain_.begun()) call.deadline = std::min(call.deadline, now + drain_.TimeUntilForcedResponses());
  for (Attempt& attempt : call.attempts) {
    attempt.sent = now;
    attempt.expires = call.deadline;
  }
  ScheduleTimer(id, call);
  balancer_->OnRequestBodyComplete(now, id, call.deadline - now);
}

void Sidecar::OnClientClosed(const Inbound::SessionPtr& session) {
  PollDiscovery();
  const auto it = std::find_if(calls_.begin(), calls_.end(),
                               [&](const auto& entry) { return entry.second.session == session; });
  if (it == calls_.end()) return;
  const std::string id = it->first;
  it->second.session = nullptr;
  metrics_.ClientDisconnected();
  // Attempts continue where the settings do not allow cancellation; but one that is still connecting has sent
  // nothing and is canceled in any case.
  for (std::size_t i = 0; i < it->second.attempts.size(); ++i)
    if (it->second.attempts[i].in_flight && upstream_.CancelIfUnsent(it->second.attempts[i].upstream))
      asio::post(io_,
                 [this, id, number = static_cast<int>(i)] { ReportOutcome(id, number, Result::kNeverSent); });
  balancer_->OnClientDisconnected(Now(), id);
  EraseIfFinished(id);
}

void Sidecar::OnStreamingStarted(const std::string& id, int attempt, const ResponseHead& head,
                                 const BodyPtr& body) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || it->second.session == nullptr) return body->Abandon();
  const Micros now = Now();
  Attempt& started = it->second.attempts[static_cast<std::size_t>(attempt)];
  started.response_started = now;
  started.expires = now + kNoDeadline;
  SendResponse(it->second, head, body);
  balancer_->OnResponseStarted(now, id, attempt);
}

void Sidecar::OnUpstreamResponse(const std::string& id, int attempt, UpstreamResponse response) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  if (response.body != nullptr && it->second.session != nullptr)
    SendResponse(it->second, std::move(response.head), std::move(response.body));
  ReportOutcome(id, attempt, response.result);
}

// Reports the result of an attempt to the module, exactly once.
void Sidecar::ReportOutcome(const std::string& id, int attempt, Result result) {
  const Micros now = NowForDecision();
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Attempt& ended = it->second.attempts[static_cast<std::size_t>(attempt)];
  if (!std::exchange(ended.in_flight, false)) return;
  Outcome outcome;
  outcome.request = id;
  outcome.attempt = attempt;
  outcome.result = result;
  outcome.elapsed =
      std::max<Micros>((ended.response_started > 0 ? ended.response_started : now) - ended.sent, 0);
  outcome.settled = it->second.session == nullptr;
  balancer_->OnOutcome(now, outcome);
  EraseIfFinished(id);
}

void Sidecar::SendResponse(Call& call, HttpResponse response) {
  ResponseHead head;
  head.base() = std::move(response.base());
  SendResponse(call, std::move(head), Body::FromString(std::move(response.body())));
}

void Sidecar::SendResponse(Call& call, ResponseHead head, BodyPtr body) {
  auto end = Metrics::RequestOutcome::kFailed;
  if (head.result() == http::status::ok) end = Metrics::RequestOutcome::kCompleted;
  if (head.result() == http::status::service_unavailable) end = Metrics::RequestOutcome::kRejected;
  Inbound::Respond(std::exchange(call.session, nullptr), std::move(head), std::move(body),
                   [this, end, request_class = call.request_class](bool whole) {
                     metrics_.RequestEnded(request_class, whole ? end : Metrics::RequestOutcome::kFailed);
                   });
}

// Sets the timer of the call to the earliest of its deadline and those of its attempts in flight.
void Sidecar::ScheduleTimer(const std::string& id, Call& call) {
  Micros due = call.deadline;
  for (const Attempt& attempt : call.attempts)
    if (attempt.in_flight) due = std::min(due, attempt.expires);
  call.timer->expires_after(std::chrono::microseconds(std::max<Micros>(due - Now(), 0)));
  call.timer->async_wait([this, id](ErrorCode error) {
    if (!error) OnCallTimer(id);
  });
}

void Sidecar::OnCallTimer(const std::string& id) {
  const Micros now = NowForDecision();
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  for (std::size_t i = 0; i < it->second.attempts.size(); ++i) {
    const Attempt& attempt = it->second.attempts[i];
    if (!attempt.in_flight || now < attempt.expires) continue;
    upstream_.Cancel(attempt.upstream);
    ReportOutcome(id, static_cast<int>(i), Result::kTimeout);
    it = calls_.find(id);
    if (it == calls_.end()) return;
  }
  if (now >= it->second.deadline && it->second.session != nullptr) {
    // The module ends requests earlier. This ensures that the client gets a response even if it does not.
    SendResponse(it->second, TextResponse(http::status::gateway_timeout, "out of time\n"));
    balancer_->OnClientDisconnected(now, id);
    return EraseIfFinished(id);
  }
  if (now < it->second.deadline) ScheduleTimer(id, it->second);
}

void Sidecar::EraseIfFinished(const std::string& id) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || it->second.session != nullptr || it->second.HasAttemptInFlight()) return;
  calls_.erase(it);
  if (calls_.empty()) drain_.OnRequestFinished();
}

RequestHead Sidecar::Forwarded(const Call& call) {
  RequestHead out = call.head;
  for (const char* hop : {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
                          "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"})
    out.erase(hop);
  out.version(11);
  return out;
}

int Sidecar::ClassIndex(std::string_view name) const {
  const auto& classes = config_.wire.settings.classes;
  const std::string wire_name = WireName(name);
  const auto it = std::find_if(classes.begin(), classes.end(),
                               [&](const RequestClass& c) { return c.name == wire_name; });
  return it == classes.end() ? -1 : static_cast<int>(it - classes.begin());
}

int Sidecar::TenantIndex(std::string_view name) const {
  const auto& tenants = config_.wire.settings.tenants;
  const std::string wire_name = WireName(name);
  const auto it =
      std::find_if(tenants.begin(), tenants.end(), [&](const Tenant& t) { return t.name == wire_name; });
  return it == tenants.end() ? -1 : static_cast<int>(it - tenants.begin());
}

// ---- Actions of the module; none of them may call it back ----

void Sidecar::Send(std::string_view request, const std::string& server, Micros timeout, Micros begin_within) {
  const std::string id(request);
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Call& call = it->second;
  const Micros now = Now();
  const int number = static_cast<int>(call.attempts.size());
  Attempt attempt;
  attempt.sent = now;
  attempt.expires = timeout > 0 ? std::min(call.deadline, now + timeout) : call.deadline;
  // A body of which a part has been discarded cannot be sent again; the module has been informed.
  if (call.session == nullptr || now >= attempt.expires || !call.body->replayable()) {
    call.attempts.push_back(attempt);
    asio::post(io_, [this, id, number] { ReportOutcome(id, number, Result::kNeverSent); });
    return;
  }
  Upstream::Events events;
  events.done = [this, id, number](UpstreamResponse response) {
    OnUpstreamResponse(id, number, std::move(response));
  };
  events.response_started = [this, id, number](const ResponseHead& head, const BodyPtr& body) {
    OnStreamingStarted(id, number, head, body);
  };
  const Micros left = call.body->ended() ? attempt.expires - now : call.budget;
  attempt.upstream =
      upstream_.Send(server, {Forwarded(call), call.body, left, begin_within}, std::move(events));
  call.attempts.push_back(attempt);
  if (attempt.expires < call.deadline) ScheduleTimer(id, call);
}

void Sidecar::Cancel(std::string_view request, int attempt) {
  const std::string id(request);
  const auto it = calls_.find(id);
  if (it == calls_.end() || attempt < 0 || static_cast<std::size_t>(attempt) >= it->second.attempts.size())
    return;
  upstream_.Cancel(it->second.attempts[static_cast<std::size_t>(attempt)].upstream);
  asio::post(io_, [this, id, attempt] { ReportOutcome(id, attempt, Result::kCancelled); });
}

void Sidecar::Reject(std::string_view request, Micros retry_after) {
  const auto it = calls_.find(std::string(request));
  if (it == calls_.end() || it->second.session == nullptr) return;
  HttpResponse response = TextResponse(http::status::service_unavailable, "refused\n");
  if (retry_after > 0) response.set(http::field::retry_after, FormatSeconds(retry_after));
  SendResponse(it->second, std::move(response));
  PostErase(it->first);
}

void Sidecar::Fail(std::string_view request) {
  const auto it = calls_.find(std::string(request));
  if (it == calls_.end() || it->second.session == nullptr) return;
  SendResponse(it->second, TextResponse(http::status::bad_gateway, "failed\n"));
  PostErase(it->first);
}

// The module may reject or fail a request from a timer, or a request other than the one just reported to it.
// No further event would follow for such a request, and it would never be erased.
void Sidecar::PostErase(const std::string& id) {
  asio::post(io_, [this, id] { EraseIfFinished(id); });
}

void Sidecar::SetTimer(Micros delay, std::uint64_t token) {
  const auto timer =
      std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(std::max<Micros>(delay, 0)));
  timer->async_wait([this, timer, token](ErrorCode error) {
    if (!error) balancer_->OnTimer(NowForDecision(), token);
  });
}

void Sidecar::Subscribe() {
  asio::post(io_, [this] { discovery_.Watch(generation_); });
}

void Sidecar::Log(std::string_view text) {
  std::fprintf(stderr, "module: %.*s\n", static_cast<int>(std::min<std::size_t>(text.size(), 400)),
               text.data());
}

void Sidecar::Reload(const Config& config) { discovery_.SwitchAddresses(config.discovery, generation_); }

// ---- Shutdown ----

void Sidecar::Drain(std::function<void()> finished) {
  sidecar::Drain::Steps steps;
  steps.stop_accepting = [this] { inbound_->StopAccepting(); };
  steps.close_listener = [this] { inbound_->CloseListener(); };
  steps.close_idle = [this] { inbound_->CloseIdle(); };
  steps.fail_requests = [this] { ExpireCalls(); };
  steps.holds_requests = [this] { return !calls_.empty(); };
  steps.holds_connections = [this] { return inbound_->holds_connections(); };
  inbound_->CloseAfterResponses();
  drain_.Begin(std::move(steps), std::move(finished));
}

// Expires all pending requests shortly before the process is killed: a response, even a failure, is better
// than none.
void Sidecar::ExpireCalls() {
  const Micros now = Now();
  std::vector<std::string> ids;
  for (auto& [id, call] : calls_) {
    call.deadline = std::min(call.deadline, now);
    for (Attempt& attempt : call.attempts) attempt.expires = std::min(attempt.expires, now);
    ids.push_back(id);
  }
  for (const std::string& id : ids) OnCallTimer(id);
}

}  // namespace violetwing::sidecar
