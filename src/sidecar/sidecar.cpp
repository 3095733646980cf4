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

// Descriptors for all but clients and servers: standard streams, epoll and its helpers, listener, watch.
constexpr std::size_t kOtherSockets = 24;
constexpr std::size_t kAdminSockets = Admin::kMaxConnections + 2;  // besides, where there is a second address
// Idle connections are closed this far into the time after which servers may close them. Guards against a
// request that crosses the server's close: it would be reset and may have run.
constexpr double kIdleShare = 0.7;
// A final answer leaves this long before the client gives up, as other sidecars share the core and a busy
// loop is late; a short budget gives up no more than this part of itself.
constexpr Micros kAnswerMargin = 40 * kMs;
constexpr double kMostMarginShare = 0.2;
// A process that succeeds another has 6 s to take clients; it waits so long for a fresh list. The other one
// serves meanwhile.
constexpr Micros kMostAwait = 4 * kSecond;
// The part of the memory that bodies may hold; half of it where two processes share it for a while.
// Connections need about as much again for what they read and write, and half of the memory stays free.
constexpr std::size_t kBudgetShare = 8;
// A long body counts no time before its last byte, nor an answer after its first: both go by progress.
constexpr Micros kNoDeadline = 3600 * kSecond;
// The watch is read before a decision if it was not within this part of the grace that a drain leaves.
constexpr Micros kNewsShare = 4;

std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::string_view View(beast::string_view text) { return {text.data(), text.size()}; }

// The query parameter that says what a request is about; empty if it has none.
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

// How the descriptors are divided. Where processes succeed each other two are there for a while: the clients,
// whose connections are a third at most, are divided between them, but each may use its share of servers.
Shares DescriptorShares(const Config& config) {
  const std::size_t free = config.max_descriptors - kOtherSockets - (config.admin ? kAdminSockets : 0);
  if (!config.passed_socket) return {free / 2, free / 2};
  return {free / 2, free / 5};
}

std::shared_ptr<BufferBudget> BodyBudget(const Config& config) {
  const std::size_t share = config.passed_socket ? 2 * kBudgetShare : kBudgetShare;
  return std::make_shared<BufferBudget>(config.memory_mb * 1024 * 1024 / share);
}

Upstream::Limits UpstreamLimits(const Config& config) {
  Upstream::Limits limits;
  limits.keep_idle =
      static_cast<Micros>(kIdleShare * static_cast<double>(config.wire.settings.connection_idle_timeout));
  limits.dial_timeout = config.wire.settings.dial_timeout;
  limits.connections = DescriptorShares(config).servers;
  return limits;
}

// Unix time and the steady clock compared once: the steady one alone moves afterwards. Were the difference
// taken anew for each list, one start would be mapped to ever new times, and the module takes a new time for
// a new start, with a cold server.
Micros ClockOffset() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const auto steady = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(wall - steady).count();
}

}  // namespace

bool Sidecar::Call::AnyOut() const {
  return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
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
                {[this] { metrics_.AttemptSent(); }, [this] { TakeNews(); }}),
      discovery_(io, config_.discovery, config_.wire,
                 Discovery::TimingFor(config_.wire.settings, config_.discovery.size()), config_.seed,
                 {TakesLists(),
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
  events.on_client_disconnected = [this](const Inbound::SessionPtr& session) { OnClientGone(session); };
  events.ready = [this] { return Ready(); };
  inbound_ = std::make_unique<Inbound>(io_, Listener(), DescriptorShares(config_).clients, budget_, events);
  if (config_.admin) {
    Admin::Events calls;
    calls.ready = events.ready;
    operator_orders_ = std::make_unique<OperatorOrders>(io_, config_.state_directory, config_.wire,
                                                        *balancer_, upstream_, [this] { return Now(); });
    calls.metrics = [this] {
      return metrics_.Text(balancer_->membership(Now())) + operator_orders_->ZoneMetrics();
    };
    calls.disable = [this](const std::string& server) { return operator_orders_->DisableServer(server); };
    calls.enable = [this](const std::string& server) { return operator_orders_->EnableServer(server); };
    calls.order_zone = [this](const std::string& zone, bool drains, Micros over) {
      return operator_orders_->OrderZone(zone, drains, over);
    };
    admin_ = std::make_unique<Admin>(io_, *config_.admin, std::move(calls));
    operator_orders_->Poll();
  }
  const bool awaits = Succeeds();
  OnList(ListUpdate::Kind::kStale, Known(), awaits);
  if (!config_.wire.settings.must_subscribe) discovery_.Watch(generation_);
  if (!awaits) return TakeClients();
  start_timer_.expires_after(std::chrono::microseconds(kMostAwait));
  start_timer_.async_wait([this](ErrorCode error) {
    if (!error) TakeClients();
  });
}

Tcp::acceptor Sidecar::Listener() {
  if (!config_.passed_socket) return Tcp::acceptor(io_, config_.listen, /*reuse_addr=*/true);
  return Tcp::acceptor(io_, Tcp::v4(), *config_.passed_socket);
}

// Whether another process has served on the passed socket and may still do so.
bool Sidecar::Succeeds() const {
  std::error_code ignored;
  return config_.passed_socket && !config_.state_directory.empty() &&
         std::filesystem::exists(std::filesystem::path(config_.state_directory) / stored_names::kServed,
                                 ignored);
}

void Sidecar::TakeClients() {
  if (drain_.begun() || std::exchange(taking_, true)) return;
  start_timer_.cancel();
  inbound_->Accept();
  if (config_.passed_socket && !config_.state_directory.empty())
    std::ofstream(std::filesystem::path(config_.state_directory) / stored_names::kServed);
}

bool Sidecar::Ready() const { return taking_ && !drain_.begun() && upstream_.any_server(); }

// ---- The clock and the list ----

Micros Sidecar::Now() const {
  const auto steady = std::chrono::steady_clock::now().time_since_epoch();
  return clock_offset_ + std::chrono::duration_cast<std::chrono::microseconds>(steady).count();
}

// What the watch holds goes before what is decided. A process that stood still, or whose loop is late, finds
// clients' requests in front of the list that came after them, and would send one of them to a server that
// has drained long since. Not called from the module's actions, as the module hears of the list in here.
Micros Sidecar::NowToDecide() {
  TakeNews();
  return Now();
}

void Sidecar::TakeNews() {
  const Micros now = Now();
  if (now - news_taken_ < config_.wire.settings.drain_grace / kNewsShare) return;
  news_taken_ = now;
  discovery_.ReadPending();
}

std::function<bool(const nlohmann::json&, std::string&)> Sidecar::TakesLists() {
  if (last_list_ == nullptr) return {};
  return [this](const nlohmann::json& list, std::string& reason) { return last_list_->Update(list, reason); };
}

// The list to begin with: the configuration's, or the copy in TMPDIR where that is later.
EndpointList Sidecar::Known() {
  if (last_list_ == nullptr) return config_.initial_list;
  const auto kept = last_list_->Load(config_.initial_list_json);
  return kept ? *kept : config_.initial_list;
}

void Sidecar::OnList(ListUpdate::Kind kind, const EndpointList& list, bool awaits) {
  generation_ = list.generation;
  EndpointList applied = list;
  applied.complete = kind != ListUpdate::Kind::kDelta;
  upstream_.Apply(applied);
  std::vector<ServerInfo> servers;
  servers.reserve(list.endpoints.size());
  for (const Endpoint& endpoint : list.endpoints) servers.push_back(endpoint.info);
  balancer_->OnServers(Now(), {kind, list.generation, servers, awaits});
  if (kind != ListUpdate::Kind::kStale) TakeClients();
}

void Sidecar::OnDiscoveryFailed() {
  if (config_.wire.settings.must_subscribe)
    balancer_->OnServers(Now(), {ListUpdate::Kind::kFailed, generation_, {}, !taking_});
}

// ---- A request's life ----

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
  const Micros now = NowToDecide();
  budget -= std::min(kAnswerMargin, static_cast<Micros>(kMostMarginShare * static_cast<double>(budget)));
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
  Watch(id, call);
  if (!body->ended()) FollowBody(id, *body);

  violetwing::balancer::Request in;
  in.id = id;
  in.request_class = request_class;
  in.tenant = TenantIndex(View(call.head[kTenantHeader]));
  in.budget = budget;
  in.body_incomplete = !body->ended();
  in.is_retry = call.head[kRetryHeader] == "1";
  in.write = call.head.method() != http::verb::get;
  if (const auto cost = ParseNumber(View(call.head[kCostHeader])); cost && *cost >= 0 && *cost < 1e12)
    in.cost = static_cast<Micros>(*cost);
  const std::string key(KeyOf(View(call.head.target())));
  in.key = key;
  balancer_->OnRequest(now, in);
  EraseIfOver(id);
}

// What a body tells may come in the middle of an action of the module's, which must not be called then.
void Sidecar::FollowBody(const std::string& id, Body& body) {
  body.on_discarded = [this, id] {
    asio::post(io_, [this, id] { balancer_->OnRequestBodyDiscarded(NowToDecide(), id); });
  };
  body.on_complete = [this, id] { asio::post(io_, [this, id] { OnRequestEnded(id); }); };
}

// The last byte of a long request has come: its time begins.
void Sidecar::OnRequestEnded(const std::string& id) {
  const Micros now = NowToDecide();
  const auto it = calls_.find(id);
  if (it == calls_.end() || it->second.session == nullptr) return;
  Call& call = it->second;
  call.deadline = now + call.budget;
  if (drain_.begun()) call.deadline = std::min(call.deadline, now + drain_.TimeUntilForcedResponses());
  for (Attempt& attempt : call.attempts) {
    attempt.sent = now;
    attempt.expires = call.deadline;
  }
  Watch(id, call);
  balancer_->OnRequestBodyComplete(now, id, call.deadline - now);
}

void Sidecar::OnClientGone(const Inbound::SessionPtr& session) {
  TakeNews();
  const auto it = std::find_if(calls_.begin(), calls_.end(),
                               [&](const auto& entry) { return entry.second.session == session; });
  if (it == calls_.end()) return;
  const std::string id = it->first;
  it->second.session = nullptr;
  metrics_.ClientDisconnected();
  // Where attempts may not be called off they go on; but one that still waits for its connection never began.
  for (std::size_t i = 0; i < it->second.attempts.size(); ++i)
    if (it->second.attempts[i].out && upstream_.Withdraw(it->second.attempts[i].upstream))
      asio::post(io_, [this, id, number = static_cast<int>(i)] { Conclude(id, number, Result::kNeverSent); });
  balancer_->OnClientDisconnected(Now(), id);
  EraseIfOver(id);
}

void Sidecar::OnAnswerBegun(const std::string& id, int attempt, const ResponseHead& head,
                            const BodyPtr& body) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || it->second.session == nullptr) return body->Abandon();
  const Micros now = Now();
  Attempt& begun = it->second.attempts[static_cast<std::size_t>(attempt)];
  begun.begun = now;
  begun.expires = now + kNoDeadline;
  Answer(it->second, head, body);
  balancer_->OnResponseStarted(now, id, attempt);
}

void Sidecar::OnAnswer(const std::string& id, int attempt, UpstreamAnswer answer) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  if (answer.body != nullptr && it->second.session != nullptr)
    Answer(it->second, std::move(answer.head), std::move(answer.body));
  Conclude(id, attempt, answer.result);
}

// Tells the module, once, what became of an attempt.
void Sidecar::Conclude(const std::string& id, int attempt, Result result) {
  const Micros now = NowToDecide();
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Attempt& ended = it->second.attempts[static_cast<std::size_t>(attempt)];
  if (!std::exchange(ended.out, false)) return;
  Outcome outcome;
  outcome.request = id;
  outcome.attempt = attempt;
  outcome.result = result;
  outcome.elapsed = std::max<Micros>((ended.begun > 0 ? ended.begun : now) - ended.sent, 0);
  outcome.settled = it->second.session == nullptr;
  balancer_->OnOutcome(now, outcome);
  EraseIfOver(id);
}

void Sidecar::Answer(Call& call, HttpResponse response) {
  ResponseHead head;
  head.base() = std::move(response.base());
  Answer(call, std::move(head), Body::FromString(std::move(response.body())));
}

void Sidecar::Answer(Call& call, ResponseHead head, BodyPtr body) {
  auto end = Metrics::RequestOutcome::kFailed;
  if (head.result() == http::status::ok) end = Metrics::RequestOutcome::kCompleted;
  if (head.result() == http::status::service_unavailable) end = Metrics::RequestOutcome::kRejected;
  Inbound::Respond(std::exchange(call.session, nullptr), std::move(head), std::move(body),
                   [this, end, request_class = call.request_class](bool whole) {
                     metrics_.RequestEnded(request_class, whole ? end : Metrics::RequestOutcome::kFailed);
                   });
}

// Sets the call's timer to what is due next: the end of an attempt, or the answer itself.
void Sidecar::Watch(const std::string& id, Call& call) {
  Micros due = call.deadline;
  for (const Attempt& attempt : call.attempts)
    if (attempt.out) due = std::min(due, attempt.expires);
  call.timer->expires_after(std::chrono::microseconds(std::max<Micros>(due - Now(), 0)));
  call.timer->async_wait([this, id](ErrorCode error) {
    if (!error) OnDue(id);
  });
}

void Sidecar::OnDue(const std::string& id) {
  const Micros now = NowToDecide();
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  for (std::size_t i = 0; i < it->second.attempts.size(); ++i) {
    const Attempt& attempt = it->second.attempts[i];
    if (!attempt.out || now < attempt.expires) continue;
    upstream_.GiveUp(attempt.upstream);
    Conclude(id, static_cast<int>(i), Result::kTimeout);
    it = calls_.find(id);
    if (it == calls_.end()) return;
  }
  if (now >= it->second.deadline && it->second.session != nullptr) {
    // The module ends requests before this. Guards against a client that gets no answer should it not.
    Answer(it->second, TextResponse(http::status::gateway_timeout, "out of time\n"));
    balancer_->OnClientDisconnected(now, id);
    return EraseIfOver(id);
  }
  if (now < it->second.deadline) Watch(id, it->second);
}

void Sidecar::EraseIfOver(const std::string& id) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || it->second.session != nullptr || it->second.AnyOut()) return;
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

// ---- The module's actions; none of them may call it back ----

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
  // A body that is gone in part cannot be sent once more; the module has been told so.
  if (call.session == nullptr || now >= attempt.expires || !call.body->replayable()) {
    call.attempts.push_back(attempt);
    asio::post(io_, [this, id, number] { Conclude(id, number, Result::kNeverSent); });
    return;
  }
  Upstream::Events events;
  events.done = [this, id, number](UpstreamAnswer answer) { OnAnswer(id, number, std::move(answer)); };
  events.begun = [this, id, number](const ResponseHead& head, const BodyPtr& body) {
    OnAnswerBegun(id, number, head, body);
  };
  const Micros left = call.body->ended() ? attempt.expires - now : call.budget;
  attempt.upstream =
      upstream_.Send(server, {Forwarded(call), call.body, left, begin_within}, std::move(events));
  call.attempts.push_back(attempt);
  if (attempt.expires < call.deadline) Watch(id, call);
}

void Sidecar::Cancel(std::string_view request, int attempt) {
  const std::string id(request);
  const auto it = calls_.find(id);
  if (it == calls_.end() || attempt < 0 || static_cast<std::size_t>(attempt) >= it->second.attempts.size())
    return;
  upstream_.GiveUp(it->second.attempts[static_cast<std::size_t>(attempt)].upstream);
  asio::post(io_, [this, id, attempt] { Conclude(id, attempt, Result::kCancelled); });
}

void Sidecar::Reject(std::string_view request, Micros retry_after) {
  const auto it = calls_.find(std::string(request));
  if (it == calls_.end() || it->second.session == nullptr) return;
  HttpResponse response = TextResponse(http::status::service_unavailable, "refused\n");
  if (retry_after > 0) response.set(http::field::retry_after, FormatSeconds(retry_after));
  Answer(it->second, std::move(response));
  EraseLater(it->first);
}

void Sidecar::Fail(std::string_view request) {
  const auto it = calls_.find(std::string(request));
  if (it == calls_.end() || it->second.session == nullptr) return;
  Answer(it->second, TextResponse(http::status::bad_gateway, "failed\n"));
  EraseLater(it->first);
}

// The module may give up on a request from a timer, or on another than the one it was told of: nothing else
// would come for such a request, and it would be held for ever.
void Sidecar::EraseLater(const std::string& id) {
  asio::post(io_, [this, id] { EraseIfOver(id); });
}

void Sidecar::SetTimer(Micros delay, std::uint64_t token) {
  const auto timer =
      std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(std::max<Micros>(delay, 0)));
  timer->async_wait([this, timer, token](ErrorCode error) {
    if (!error) balancer_->OnTimer(NowToDecide(), token);
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

// ---- The end ----

void Sidecar::Drain(std::function<void()> finished) {
  sidecar::Drain::Steps steps;
  steps.stop_accepting = [this] { inbound_->StopAccepting(); };
  steps.close_listener = [this] { inbound_->CloseListener(); };
  steps.close_idle = [this] { inbound_->CloseIdle(); };
  steps.fail_requests = [this] { HurryCalls(); };
  steps.holds_requests = [this] { return !calls_.empty(); };
  steps.holds_connections = [this] { return inbound_->holds_connections(); };
  inbound_->CloseAfterResponses();
  drain_.Begin(std::move(steps), std::move(finished));
}

// Ends what would outlast the time before the kill: an answer now, if only a failure, is better than none.
void Sidecar::HurryCalls() {
  const Micros now = Now();
  std::vector<std::string> ids;
  for (auto& [id, call] : calls_) {
    call.deadline = std::min(call.deadline, now);
    for (Attempt& attempt : call.attempts) attempt.expires = std::min(attempt.expires, now);
    ids.push_back(id);
  }
  for (const std::string& id : ids) OnDue(id);
}

}  // namespace violetwing::sidecar
