#include "service.hpp"

#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "common/steady_time.hpp"
#include "control/consensus/member_policy.hpp"

namespace violetwing {
namespace {

using nlohmann::json;

// One shard for the configuration, and some for the services, by a hash of their names.
constexpr int kServiceShards = 2;
constexpr auto kTickEvery = timeval{0, 50'000};
// Callers go elsewhere after a second without an answer.
constexpr std::int64_t kCallWithin = 900'000;
// Heartbeats that a server may miss before it is taken for lost.
constexpr int kMissedHeartbeats = 3;
// Without a word of a sidecar for so long, the others share its part of what all may spend.
constexpr std::int64_t kSidecarLostAfter = 5'000'000;
// A pull is answered at the latest after so long, whatever the caller asks for.
constexpr int kMostPullWaitMs = 2'000;
constexpr std::chrono::milliseconds kStopAfter{300};
constexpr std::chrono::milliseconds kOrderSilence{800};

http::Response Problem(int status, const std::string& problem) {
  return {status, json{{"error", problem}}.dump(), {}};
}

http::Response Unavailable(const std::string& problem) {
  http::Response response = Problem(503, problem);
  response.headers.emplace_back("Retry-After", "0.2");
  return response;
}

std::string RandomName() {
  std::random_device device;
  char out[33];
  std::snprintf(out, sizeof out, "%08x%08x%08x%08x", device(), device(), device(), device());
  return out;
}

// `"7"`, `7` or nothing: the version that a change builds upon.
bool ParseIfMatch(const std::string& text, std::int64_t& out) {
  std::string digits = text;
  std::erase_if(digits, [](char c) { return c == '"' || c == ' '; });
  out = 0;
  if (digits.empty()) return true;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), out);
  return error == std::errc() && end == digits.data() + digits.size() && out >= 0;
}

}  // namespace

// Commands of the configuration's shard: a change of the operator, or a read, which is answered with what all
// changes before it have led to.
class ControlService::ConfigurationMachine : public StateMachine {
 public:
  explicit ConfigurationMachine(configuration::State& state) : state_(state) {}

  std::string Apply(const std::string& command) override {
    const json in = json::parse(command, nullptr, /*allow_exceptions=*/false);
    if (!in.is_object() || in.value("read", false)) return {};
    const configuration::Answer answer = state_.Apply(
        {in.value("patch", false), in.value("base", std::int64_t{0}), in.value("body", std::string())});
    const int status = answer.outcome == configuration::Outcome::kTaken      ? 200
                       : answer.outcome == configuration::Outcome::kConflict ? 412
                                                                             : 400;
    return json{{"status", status}, {"version", answer.version}, {"problem", answer.problem}}.dump();
  }
  std::string Save() const override { return state_.Save(); }
  void Load(const std::string& saved) override { state_.Load(saved); }

 private:
  configuration::State& state_;
};

// Commands of a shard of services: a server leaves.
class ControlService::DeparturesMachine : public StateMachine {
 public:
  DeparturesMachine(Departures& state, InstanceTable& table) : state_(state), table_(table) {}

  std::string Apply(const std::string& command) override {
    const json in = json::parse(command, nullptr, /*allow_exceptions=*/false);
    if (!in.is_object()) return {};
    const std::string id = in.value("id", std::string());
    const Phase phase = in.value("phase", Phase::kDraining);
    state_.Apply(id, phase);
    table_.Leave(id, phase, SteadyMicros());
    return {};
  }
  std::string Save() const override { return state_.Save(); }
  void Load(const std::string& saved) override {
    state_.Load(saved);
    for (const auto& [id, phase] : state_.all()) table_.Leave(id, phase, SteadyMicros());
  }

 private:
  Departures& state_;
  InstanceTable& table_;
};

ControlService::ControlService(event_base* base, NodeSettings settings)
    : base_(base),
      settings_(std::move(settings)),
      source_(settings_.node_name + "/" + RandomName().substr(0, 8)),
      departures_(kServiceShards + 1),
      table_(source_, kMissedHeartbeats * settings_.heartbeat_ms * 1000),
      api_(base, [this](const http::Request& r, const http::Answer& a) { OnApi(r, a); }),
      internal_(base, [this](const http::Request& r, const http::Answer& a) { OnInternal(r, a); }),
      client_(base) {}

ControlService::~ControlService() {
  groups_.clear();
  if (tick_ != nullptr) event_free(tick_);
  if (written_event_ != nullptr) event_free(written_event_);
}

std::error_code ControlService::Start(std::string& problem) {
  const bool founder = settings_.bootstrap &&
                       std::any_of(settings_.seeds.begin(), settings_.seeds.end(),
                                   [&](const std::string& seed) { return seed == settings_.control_plane; });
  // The first disks have names that all can tell from the seeds; every later one draws its own.
  const std::string disk = founder ? "founder/" + settings_.InternalAddress() : "disk/" + RandomName();
  if (const std::error_code error = store_.Open(settings_.data_dir, disk, problem)) return error;
  for (const std::string& address : {settings_.control_plane, settings_.InternalAddress()}) {
    http::Server& server = address == settings_.control_plane ? api_ : internal_;
    if (const std::error_code error = server.Listen(address)) {
      problem = "cannot listen on " + address + ": " + error.message();
      return error;
    }
  }
  const ControlNode self{settings_.node_name, settings_.zone, settings_.InternalAddress(),
                         settings_.control_plane};
  Peers::Hooks hooks;
  hooks.fill = [this](ExchangeRequest& request) {
    request.disk = store_.disk();
    request.known = table_.known();
    for (const auto& group : groups_)
      if (!group->replica().IsMember(store_.disk())) request.joins.push_back(group->shard());
  };
  hooks.take = [this](const ExchangeReply& reply) {
    const Micros now = SteadyMicros();
    for (const Instance& instance : reply.changed) table_.Merge(instance, now);
    for (const Heard& heard : reply.heard) table_.Hear(heard, now);
    for (const Heard& edge : reply.edges) {
      Sidecar& sidecar = sidecars_[edge.id];
      sidecar.heard_at = std::max(sidecar.heard_at, now - edge.age_ms * 1000);
    }
    for (const ControlNode& node : reply.controls) peers_->Meet(node, now);
    if (!reply.changed.empty()) pulls_due_ = true;
  };
  peers_ = std::make_unique<Peers>(base_, client_, self, std::move(hooks));
  Reload(settings_);
  MakeGroups();

  if (pipe2(written_pipe_, O_CLOEXEC | O_NONBLOCK) != 0) {
    problem = "cannot open a pipe";
    return std::error_code(errno, std::generic_category());
  }
  written_event_ = event_new(
      base_, written_pipe_[0], EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* service) { static_cast<ControlService*>(service)->OnWritten(); },
      this);
  event_add(written_event_, nullptr);
  store_.Start([fd = written_pipe_[1]] {
    const char byte = 1;
    [[maybe_unused]] const ssize_t told = write(fd, &byte, 1);  // a full pipe tells as well
  });
  tick_ = event_new(
      base_, -1, EV_PERSIST,
      [](evutil_socket_t, short, void* service) { static_cast<ControlService*>(service)->Tick(); }, this);
  event_add(tick_, &kTickEvery);
  spdlog::info("control process {} of disk {} takes calls at {}", settings_.node_name, store_.disk(),
               settings_.control_plane);
  return {};
}

void ControlService::Reload(const NodeSettings& settings) {
  settings_.seeds = settings.seeds;
  std::vector<ControlNode> seeds;
  for (const std::string& seed : settings_.seeds)
    seeds.push_back({{}, {}, settings_.InternalAddressOf(seed), seed});
  peers_->SetSeeds(seeds);
}

void ControlService::MakeGroups() {
  consensus::Members founders;
  if (store_.disk().rfind("founder/", 0) == 0)
    for (const std::string& seed : settings_.seeds) {
      const std::string address = settings_.InternalAddressOf(seed);
      founders.push_back({"founder/" + address, address});
    }
  for (int shard = 0; shard <= kServiceShards; ++shard) {
    if (shard == 0)
      machines_.push_back(std::make_unique<ConfigurationMachine>(configuration_));
    else
      machines_.push_back(
          std::make_unique<DeparturesMachine>(departures_[static_cast<std::size_t>(shard)], table_));
    Group::Outputs outputs;
    outputs.send = [this](int at, const consensus::Message& message) {
      const std::string address = AddressOf(at, message.to);
      if (!address.empty()) peers_->Send(address, {at, message});
    };
    outputs.forward = [this](int at, const consensus::Member& leader, const std::string& command) {
      const std::string address = AddressOf(at, leader.id);
      if (!address.empty()) peers_->Propose(address, {at, command});
    };
    outputs.write = [this](ShardWrite write, std::uint64_t token) {
      writers_[token] = FindGroup(write.shard);
      store_.Enqueue(std::move(write), token);
    };
    outputs.writes_wait = [this] { return !writers_.empty(); };
    outputs.next_token = [this] { return ++token_; };
    outputs.applied = [this](int at) { OnApplied(at); };
    const auto stored = store_.stored().find(shard);
    consensus::Replica replica(
        store_.disk(), founders, stored == store_.stored().end() ? consensus::StoredState() : stored->second,
        {}, XXH64(source_.data(), source_.size(), static_cast<std::uint64_t>(shard)), SteadyMicros());
    groups_.push_back(
        std::make_unique<Group>(shard, std::move(replica), *machines_.back(), std::move(outputs)));
  }
}

std::string ControlService::AddressOf(int shard, const consensus::ReplicaId& id) const {
  const auto met = disk_addresses_.find(id);
  if (met != disk_addresses_.end()) return met->second;
  const Group* group = FindGroup(shard);
  if (group == nullptr) return {};  // its replica is only being made
  for (const consensus::Member& member : group->replica().members())
    if (member.id == id) return member.address;
  return {};
}

Group* ControlService::FindGroup(int shard) const {
  const auto at = static_cast<std::size_t>(shard);
  return shard >= 0 && at < groups_.size() ? groups_[at].get() : nullptr;
}

int ControlService::ShardOf(const std::string& service) const {
  return 1 + static_cast<int>(XXH64(service.data(), service.size(), 0) % kServiceShards);
}

bool ControlService::InTouch() const { return groups_.front()->replica().InTouch(SteadyMicros()); }

void ControlService::Stop() {
  if (std::exchange(stopping_, true)) return;
  api_.StopListening();
  internal_.StopListening();
  for (const ParkedPull& pull : parked_) pull.answer(Unavailable("this process stops"));
  parked_.clear();
  const auto after = timeval{0, std::chrono::microseconds(kStopAfter).count()};
  event_base_loopexit(base_, &after);
}

// ---- Time ----

void ControlService::Tick() {
  const Micros now = SteadyMicros();
  for (const auto& group : groups_) group->Tick(now);
  const bool in_touch = InTouch();
  if (!in_touch) in_touch_since_ = 0;
  if (in_touch && in_touch_since_ == 0) in_touch_since_ = now;
  table_.Expire(now, in_touch);
  ReviewMembers(now);
  TickPlacer(now);
  peers_->Tick(now);
  client_.CloseIdle(std::chrono::seconds(30));
  WakePulls();
}

void ControlService::OnWritten() {
  char bytes[64];
  while (read(written_pipe_[0], bytes, sizeof bytes) > 0) {
  }
  for (const std::uint64_t token : store_.TakeWritten()) {
    const auto writer = writers_.find(token);
    if (writer == writers_.end()) continue;
    Group* const group = writer->second;
    writers_.erase(writer);
    group->Written(token);
  }
}

void ControlService::OnApplied(int shard) {
  pulls_due_ = true;
  if (shard == 0) WakePulls();
}

void ControlService::ReviewMembers(Micros now) {
  std::vector<std::string> addresses;
  for (const auto& group : groups_) {
    for (const consensus::Member& member : group->replica().members()) addresses.push_back(member.address);
    consensus::MemberPolicy policy;
    policy.wanted = static_cast<std::size_t>(std::max(3, 2 * settings_.tolerated_nodes + 1));
    const auto next = consensus::NextMembers(group->replica(), policy, now);
    if (!next || !group->replica().ProposeMembers(*next)) continue;
    spdlog::info("shard {}: the group changes to {} replicas", group->shard(), next->size());
    group->Tick(now);
  }
  peers_->SetMembers(addresses);
}

// ---- The interface for servers and the operator ----

void ControlService::OnApi(const http::Request& request, const http::Answer& answer) {
  static const std::string kInstances = "/api/instances/";
  if (request.path == "/api/configuration") {
    if (request.method == "GET") return OnReadConfiguration(answer);
    if (request.method == "PUT" || request.method == "PATCH") return OnChange(request, answer);
  } else if (request.path.rfind(kInstances, 0) == 0) {
    const std::string id = request.path.substr(kInstances.size());
    if (request.method == "PUT") return OnHeartbeat(id, request.body, answer);
    if (request.method == "DELETE") return OnDeparture(id, answer);
  }
  answer(Problem(404, "there is nothing at " + request.method + " " + request.path));
}

std::optional<Phase> ControlService::Departed(const std::string& id) const {
  for (const Departures& shard : departures_)
    if (const auto phase = shard.Find(id)) return phase;
  return std::nullopt;
}

void ControlService::OnHeartbeat(const std::string& id, const std::string& body, const http::Answer& answer) {
  if (!InTouch()) return answer(Unavailable("this process is out of touch with the others"));
  Instance instance;
  bool draining = false;
  try {
    const json in = json::parse(body);
    instance = in.get<Instance>();
    draining = in.value("phase", std::string("ready")) == "draining";
  } catch (const json::exception& error) {
    return answer(Problem(400, error.what()));
  }
  if (instance.backend.empty() || instance.address.empty())
    return answer(Problem(400, "backend or address is missing"));
  instance.id = id;
  instance.phase = Phase::kReady;
  const std::optional<Phase> departed = Departed(id);
  if (departed) instance.phase = *departed;
  const std::string service = instance.backend;
  if (departed != Phase::kGone && table_.Heartbeat(std::move(instance), SteadyMicros())) pulls_due_ = true;
  if (draining && !departed) return AnswerLeave(id, service, Phase::kDraining, answer);
  answer({200, "{}", {}});
}

void ControlService::OnDeparture(const std::string& id, const http::Answer& answer) {
  if (Departed(id) == Phase::kGone) return answer({200, "{}", {}});
  const InstanceTable::Record* record = table_.Find(id);
  AnswerLeave(id, record == nullptr ? std::string() : record->instance.backend, Phase::kGone, answer);
}

void ControlService::AnswerLeave(const std::string& id, const std::string& service, Phase phase,
                                 const http::Answer& answer) {
  FindGroup(ShardOf(service))
      ->Call(json{{"id", id}, {"phase", phase}}.dump(), SteadyMicros(), kCallWithin,
             [answer](const std::optional<std::string>& result) {
               answer(result ? http::Response{200, "{}", {}} : Unavailable("no quorum has taken it yet"));
             });
}

void ControlService::OnChange(const http::Request& request, const http::Answer& answer) {
  std::int64_t base = 0;
  if (!ParseIfMatch(request.if_match, base)) return answer(Problem(400, "If-Match: is no version"));
  // What cannot be read is refused here: the log holds valid text alone.
  if (!json::accept(request.body)) return answer(Problem(400, "document: cannot be read whole as JSON"));
  const json command{{"patch", request.method == "PATCH"}, {"base", base}, {"body", request.body}};
  ConfigurationGroup().Call(
      command.dump(), SteadyMicros(), kCallWithin, [answer](const std::optional<std::string>& result) {
        if (!result) return answer(Unavailable("no quorum has taken it yet; send it again unchanged"));
        const json out = json::parse(*result);
        const int status = out.at("status").get<int>();
        if (status == 200) return answer({200, json{{"version", out.at("version")}}.dump(), {}});
        answer(Problem(status, out.at("problem").get<std::string>()));
      });
}

void ControlService::OnReadConfiguration(const http::Answer& answer) {
  ConfigurationGroup().Call(
      json{{"read", true}}.dump(), SteadyMicros(), kCallWithin,
      [this, answer](const std::optional<std::string>& result) {
        if (!result) return answer(Unavailable("no quorum answers"));
        if (configuration_.version() == 0) return answer(Problem(404, "there is no configuration yet"));
        answer({200, configuration_.document(), {{"ETag", std::to_string(configuration_.version())}}});
      });
}

// ---- Calls of the other processes of the system ----

void ControlService::OnInternal(const http::Request& request, const http::Answer& answer) {
  try {
    if (request.path == kExchangePath)
      return OnExchange(json::parse(request.body).get<ExchangeRequest>(), answer);
    if (request.path == kPullPath) return OnPull(json::parse(request.body).get<PullRequest>(), answer);
    if (request.path == kDemandPath) {
      CountDemand(json::parse(request.body).get<std::vector<ModelDemand>>());
      return answer({200, "{}", {}});
    }
  } catch (const std::exception& error) {
    return answer(Problem(400, error.what()));
  }
  answer(Problem(404, "there is nothing at " + request.path));
}

void ControlService::OnExchange(const ExchangeRequest& request, const http::Answer& answer) {
  const Micros now = SteadyMicros();
  peers_->Meet(request.from, now);
  disk_addresses_[request.disk] = request.from.address;
  for (const int shard : request.joins)
    if (Group* group = FindGroup(shard))
      group->replica().AddLearner({request.disk, request.from.address}, now);
  for (const ShardMessage& one : request.messages)
    if (Group* group = FindGroup(one.shard)) group->Step(one.message, now);
  for (const ShardProposal& one : request.proposals)
    if (Group* group = FindGroup(one.shard)) group->TakeForwarded(one.command);
  CountDemand(request.demand);
  ExchangeReply reply;
  reply.source = source_;
  reply.changed = table_.ChangedSince(request.known);
  reply.known = table_.known();
  const Micros lately = now - 600'000;
  reply.heard = table_.HeardSince(lately, now);
  for (const auto& [name, sidecar] : sidecars_)
    if (sidecar.heard_directly_at > lately)
      reply.edges.push_back({name, 0, (now - sidecar.heard_directly_at) / 1000});
  reply.controls = peers_->Known(now);
  answer({200, json(reply).dump(), {}});
}

int ControlService::NumberOf(const std::string& name, int& count) const {
  const Micros now = SteadyMicros();
  int number = 0;
  count = 0;
  for (const auto& [other, sidecar] : sidecars_) {
    if (now - sidecar.heard_at > kSidecarLostAfter) continue;
    if (other == name) number = count;
    ++count;
  }
  count = std::max(count, 1);
  return number;
}

void ControlService::OnPull(PullRequest request, const http::Answer& answer) {
  const Micros now = SteadyMicros();
  Sidecar& sidecar = sidecars_[request.node];
  sidecar.heard_at = sidecar.heard_directly_at = now;
  CountDemand(request.demand);
  if (AnswerPull(request, answer, false)) return;
  const Micros until = now + std::clamp(request.wait_ms, 0, kMostPullWaitMs) * Micros{1000};
  parked_.push_back({std::move(request), until, answer});
}

bool ControlService::AnswerPull(const PullRequest& request, const http::Answer& answer, bool now_or_never) {
  if (!InTouch()) {
    answer(Unavailable("this process is out of touch with the others"));
    return true;
  }
  // A list is whole once every server that lives has had the time to say so.
  const bool settled =
      in_touch_since_ > 0 && SteadyMicros() - in_touch_since_ > 2 * settings_.heartbeat_ms * 1000;
  const bool whole = settled && request.source != source_;
  const bool newer = configuration_.version() > request.configuration;
  if (!now_or_never && !whole && !newer && !table_.Misses(request.known)) return false;
  PullReply reply;
  reply.source = whole || request.source == source_ ? source_ : std::string();
  reply.whole = whole;
  if (whole) reply.ids = table_.Ids();
  reply.configuration = configuration_.version();
  if (newer) reply.document = configuration_.document();
  reply.changed = table_.ChangedSince(request.known);
  reply.known = table_.known();
  reply.controls = peers_->Known(SteadyMicros());
  reply.number = NumberOf(request.node, reply.sidecars);
  answer({200, json(reply).dump(), {}});
  return true;
}

void ControlService::WakePulls() {
  const Micros now = SteadyMicros();
  const bool due = std::exchange(pulls_due_, false);
  const bool in_touch = InTouch();
  for (auto it = parked_.begin(); it != parked_.end();) {
    const bool over = now >= it->until || !in_touch;
    it = (over || due) && AnswerPull(it->request, it->answer, over) ? parked_.erase(it) : std::next(it);
  }
}

// ---- Placement ----

void ControlService::CountDemand(const std::vector<ModelDemand>& demand) {
  if (demand.empty()) return;
  const consensus::Replica& replica = groups_.front()->replica();
  if (replica.leader()) {
    for (const ModelDemand& one : demand) placer_.CountDemand(one, SteadyMicros());
    TickPlacer(SteadyMicros());
  } else if (replica.known_leader()) {
    const std::string address = AddressOf(0, replica.known_leader()->id);
    if (!address.empty()) peers_->Tell(address, demand);
  }
}

// The leader of the configuration's shard is the placer. Its term is the fencing token: it rises with each
// leader, and no second one has it. A new one keeps still until no order of the one before can be on its way.
void ControlService::TickPlacer(Micros now) {
  const consensus::Replica& replica = groups_.front()->replica();
  const bool acts = replica.Ready() && replica.HasLease(now) && configuration_.current() != nullptr;
  if (!replica.leader() || placer_term_ != replica.term()) {
    placing_ = false;
    placer_term_ = replica.leader() ? replica.term() : 0;
    place_from_ = now + settings_.lease_ms * 1000;
    return;
  }
  if (!acts || now < place_from_ || stopping_) return;
  if (!std::exchange(placing_, true)) placer_.Begin(now);
  for (const PlacementCall& call : placer_.Plan(*configuration_.current(), table_, now)) {
    if (call.kind == PlacementCall::Kind::kReport)
      AskReport(call);
    else
      SendOrder(call);
  }
  if (table_.Misses(told_)) {
    told_ = table_.known();
    pulls_due_ = true;
    WakePulls();
  }
}

void ControlService::SendOrder(const PlacementCall& order) {
  json body{{"operation", order.kind == PlacementCall::Kind::kLoad ? "load_model" : "unload_model"},
            {"model", order.model},
            {"lease_holder", settings_.node_name},
            {"fencing_token", placer_term_}};
  if (!order.adapter.empty()) body["adapter"] = order.adapter;
  if (order.if_revision) body["if_revision"] = *order.if_revision;
  client_.Call(order.address, "POST", "/api/order", body.dump(), kOrderSilence,
               [this, order](int status, const std::string&) {
                 const Micros now = SteadyMicros();
                 const bool load = order.kind == PlacementCall::Kind::kLoad;
                 spdlog::debug("order to {}: {} {}/{}: {}", order.instance, load ? "load" : "unload",
                               order.model, order.adapter, status);
                 placer_.OnAnswer(order, status, now);
                 if (placing_) TickPlacer(now);
               },
               {{"X-Violetwing-Expected-Instance", order.instance}});
}

void ControlService::AskReport(const PlacementCall& call) {
  client_.Call(call.address, "GET", "/api/report", {}, kOrderSilence,
               [this, instance = call.instance](int status, const std::string& body) {
                 std::optional<ServerReport> report;
                 const json in = json::parse(body, nullptr, /*allow_exceptions=*/false);
                 if (status == 200 && in.is_object()) {
                   try {
                     report =
                         ServerReport{in.value("utilization", false), in.at("sequence").get<std::int64_t>(),
                                      in.at("models").get<std::vector<HeldModel>>()};
                   } catch (const json::exception& error) {
                     spdlog::warn("the report of {} cannot be read: {}", instance, error.what());
                   }
                 }
                 placer_.OnReport(instance, report, SteadyMicros());
               },
               {{"X-Violetwing-Expected-Instance", call.instance}});
}

}  // namespace violetwing
