#include "registry/service.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <optional>
#include <utility>

#include "registry/json.hpp"

namespace violetwing::registry {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

constexpr std::size_t kMostBody = std::size_t{4} * 1024 * 1024;  // a batch of 1,000 entries is some 400 KB
constexpr Micros kBeat = 2'000'000;    // PROTOCOL: an empty line as long as nothing changes
constexpr Micros kLookEvery = 50'000;  // for leases that are over
constexpr Micros kPause =
    500'000;  // between two looks: it stood. Ten looks; a busy loop is late by one or two
constexpr std::chrono::seconds kMostIdle(60);
constexpr std::size_t kMostCalls =
    1'000;  // connections that are no watch; more wait no shorter here than at the door

constexpr std::string_view kWatchHead =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string Chunk(const std::string& text) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

std::string Error(const std::string& why) { return nlohmann::json({{"error", why}}).dump() + "\n"; }

std::int64_t IndexOf(const std::string& target) {
  const std::size_t at = target.find("index=");
  std::int64_t index = 0;
  if (at != std::string::npos) std::from_chars(target.data() + at + 6, target.data() + target.size(), index);
  return index;
}

}  // namespace

// One connection: calls in turn, or one watch to its end.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Service& service, Tcp::socket socket)
      : service_(&service), socket_(std::move(socket)), timer_(service.io_) {}

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMostBody);
    Expect(kMostIdle);
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (self->service_ == nullptr) return;
      if (error) return self->End();
      self->Handle();
    });
  }

  // Owes the watcher what has changed, if it is not just being written something: then it gets all at once
  // after it.
  void Tell() {
    if (!watching_ || writing_) return;
    if (index_ == service_->core_.generation() && !told_anew_) return;
    told_anew_ = false;
    Write(service_->OwedChunk(index_, replica_), service_->core_.generation());
  }
  // The list's own state has changed, and no entry.
  void TellAnew() {
    told_anew_ = true;
    Tell();
  }

  bool watching() const { return watching_; }
  std::int64_t index() const { return index_; }

  // The service is gone.
  void Abandon() {
    service_ = nullptr;
    ErrorCode ignored;
    socket_.close(ignored);
  }
  void End() {
    if (service_ == nullptr) return;
    Service* const service = std::exchange(service_, nullptr);
    timer_.cancel();
    ErrorCode ignored;
    socket_.close(ignored);
    if (watching_) --service->watchers_;
    service->sessions_.erase(shared_from_this());
  }

 private:
  void Expect(std::chrono::microseconds time) {
    timer_.expires_after(time);
    timer_.async_wait([self = shared_from_this()](ErrorCode error) {
      if (error || self->service_ == nullptr) return;
      if (self->watching_) {
        // A watcher that never reads: one message is under way, and its socket's buffer is full.
        if (!self->writing_) return self->Beat();
        self->service_->figures_.cut_off.Increment();
        self->service_->log_.Warn(Service::Now(), "registry", "watcher cut off", {{"index", self->index_}});
      }
      self->End();
    });
  }

  void Handle() {
    const auto& request = parser_->get();
    const std::string target(request.target());
    replica_ = target.rfind("/v1/replica?", 0) == 0;
    const bool watch = request.method() == http::verb::get &&
                       (replica_ || target.rfind("/v1/endpoints?", 0) == 0) &&
                       target.find("stream=1") != std::string::npos;
    if (watch) return Watch(IndexOf(target));
    Service::Answer answer =
        service_->sessions_.size() - service_->watchers_ > kMostCalls
            ? Service::Answer{503, Error("overloaded")}
            : service_->Handle(std::string(request.method_string()), target, request.body());
    if (answer.status == 503) service_->figures_.overloaded.Increment();
    keep_alive_ = request.keep_alive();
    http::response<http::string_body> response(static_cast<http::status>(answer.status), 11);
    response.set(http::field::content_type, answer.type);
    response.body() = std::move(answer.body);
    response.keep_alive(keep_alive_);
    response.prepare_payload();
    auto message = std::make_shared<http::response<http::string_body>>(std::move(response));
    Expect(std::chrono::microseconds(service_->config_.stall));
    http::async_write(socket_, *message, [self = shared_from_this(), message](ErrorCode error, std::size_t) {
      if (self->service_ == nullptr) return;
      if (error || !self->keep_alive_) return self->End();
      self->Read();
    });
  }

  void Watch(std::int64_t index) {
    if (service_->watchers_ >= service_->config_.most_watchers) {
      service_->figures_.overloaded.Increment();
      keep_alive_ = false;
      return Write(
          std::make_shared<const std::string>("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
                                              "Connection: close\r\n\r\n"),
          0);
    }
    if (service_->core_.Ahead(index)) {
      service_->figures_.ahead.Increment();
      service_->log_.Warn(Service::Now(), "registry", "a watcher is ahead", {{"index", index}});
    }
    ++service_->watchers_;
    watching_ = true;
    // PROTOCOL: the first object holds what changed after that version, or else the whole list. It is owed
    // also if that is nothing, so that the watcher knows at once that it is up to date. Its text is shared,
    // not copied behind the head: a long list for each of thousands that come back at once would fill the
    // memory.
    Write(service_->OwedChunk(index, replica_), service_->core_.generation(), kWatchHead);
    WatchForEnd();
  }

  void Beat() {
    static const auto kHeartbeatChunk = std::make_shared<const std::string>(Chunk("\n"));
    Write(kHeartbeatChunk, index_);
  }

  void WatchForEnd() {
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode) { self->End(); });
  }

  void Write(Service::Text text, std::int64_t index, std::string_view head = {}) {
    writing_ = true;
    index_ = index;
    const std::array<asio::const_buffer, 2> buffers = {asio::buffer(head), asio::buffer(*text)};
    Expect(std::chrono::microseconds(service_->config_.stall));
    asio::async_write(socket_, buffers,
                      [self = shared_from_this(), text = std::move(text)](ErrorCode error, std::size_t) {
                        self->writing_ = false;
                        if (self->service_ == nullptr) return;
                        if (error || !self->keep_alive_) return self->End();
                        self->Expect(std::chrono::microseconds(kBeat));
                        self->Tell();
                      });
  }

  Service* service_;  // null once it is over
  Tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  bool keep_alive_ = true;
  bool watching_ = false;
  bool replica_ = false;  // a follower's watch
  bool writing_ = false;
  bool told_anew_ = false;
  std::int64_t index_ = 0;
};

ServiceConfig LoadServiceConfig(const std::string& file) {
  const auto fail = [&](const toml::source_region& at, const std::string& what) {
    throw std::runtime_error(file + ":" + std::to_string(at.begin.line) + ": " + what);
  };
  toml::table table;
  try {
    table = toml::parse_file(file);
  } catch (const toml::parse_error& error) {
    fail(error.source(), std::string(error.description()));
  }
  ServiceConfig out;
  for (const auto& [key, node] : table) {
    const std::string name(key.str());
    const auto number = [&, &value = node](double least, double most) {
      const auto got = value.value<double>();
      if (!got || !(*got >= least && *got <= most))
        fail(value.source(),
             name + ": not a number from " + std::to_string(least) + " to " + std::to_string(most));
      return got.value_or(0);
    };
    const auto text = [&, &value = node] {
      if (!value.is_string()) fail(value.source(), name + ": not a text");
      return value.value<std::string>().value_or("");
    };
    if (name == "listen") {
      const std::string address = text();
      Entry probe;  // the one place that knows an address with a port
      probe.id = "listen";
      probe.address = address;
      if (address.rfind("127.", 0) != 0 || !(Wrong(probe).empty() || address.ends_with(":0")))
        fail(node.source(), "listen: no loopback address with a port");
      const std::size_t colon = address.rfind(':');
      ErrorCode error;
      const auto host = asio::ip::make_address(address.substr(0, colon), error);
      if (error || colon == std::string::npos) fail(node.source(), "listen: no loopback address with a port");
      out.listen = Tcp::endpoint(host, static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    } else if (name == "store") {
      out.store = text();
    } else if (name == "snapshots") {
      out.snapshots = text();
    } else if (name == "log") {
      out.log = text();
    } else if (name == "epoch") {
      out.epoch = static_cast<std::int64_t>(number(1, static_cast<double>(kMostEpoch)));
    } else if (name == "most_watchers") {
      out.most_watchers = static_cast<std::size_t>(number(1, 1e6));
    } else if (name == "most_connections") {
      out.most_connections = static_cast<std::size_t>(number(1, 1e6));
    } else if (name == "stall_s") {
      out.stall = static_cast<Micros>(number(0.1, 3600) * 1e6);
    } else if (name == "kept_versions") {
      out.limits.log = static_cast<std::size_t>(number(1, 1e6));
    } else if (name == "most_entries") {
      out.limits.entries = static_cast<std::size_t>(number(1, 1e6));
    } else if (name == "name") {
      out.name = text();
    } else if (name == "follow") {
      if (!node.is_boolean()) fail(node.source(), "follow: neither true nor false");
      out.follows = node.value_or(false);
    } else if (name == "others") {
      if (!node.is_array()) fail(node.source(), "others: no list of addresses");
      for (const toml::node& one : *node.as_array()) {
        const auto address = ParseEndpoint(one.value_or(std::string()));
        if (!address) fail(one.source(), "others: no address with a port");
        out.others.push_back(*address);
      }
    } else if (name == "stale_s") {
      out.timing.stale_after = static_cast<Micros>(number(0.1, 3600) * 1e6);
    } else if (name == "preserve_share") {
      out.limits.preserve_share = number(0.01, 1);
    } else {
      fail(node.source(), name + ": unknown key");
    }
  }
  if (out.store.empty() || !table.contains("listen")) fail(table.source(), "listen and store are needed");
  if (out.name.empty()) out.name = ToText(out.listen);
  return out;
}

Service::Service(asio::io_context& io, ServiceConfig config)
    : io_(io),
      config_(std::move(config)),
      store_(config_.store, config_.epoch),
      log_(config_.log.empty() ? Log() : Log(config_.log, Log::ExistingFile::kAppend)),
      core_(config_.limits, store_.Load(), Now()),
      role_(MakeRole()),
      peers_(MakePeers()),
      acceptor_(io),
      timer_(io) {
  if (role_.role() == Role::kFollower && config_.others.empty())
    throw StoreError(config_.store + ": is a follower's, and no others are configured to follow");
}

Service::~Service() {
  for (const auto& session : sessions_) session->Abandon();
}

Micros Service::Now() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

void Service::Start() {
  acceptor_.open(config_.listen.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(config_.listen);
  acceptor_.listen();
  log_.Info(Now(), "registry", "serves",
            {{"epoch", core_.epoch()}, {"generation", core_.generation()}, {"role", Name(role_.role())}});
  told_role_ = role_.role();
  looked_ = Now();
  Accept();
  if (peers_ != nullptr) peers_->Start();
  Look();
}

void Service::Accept() {
  acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error && sessions_.size() < config_.most_connections) {
      ErrorCode ignored;
      socket.set_option(Tcp::no_delay(true), ignored);
      const auto session = std::make_shared<Session>(*this, std::move(socket));
      sessions_.insert(session);
      session->Read();
    }
    Accept();
  });
}

// Leases that are over, and whether this process itself stood: then nobody could renew, and everybody gets a
// full term.
void Service::Look() {
  const Micros now = Now();
  if (now - looked_ > kPause) {
    figures_.pauses.Increment();
    log_.Warn(now, "registry", "stood still", {{"for_s", static_cast<double>(now - looked_) / 1e6}});
    core_.AfterPause(now);
  }
  DecideRole();
  if (Writes()) EndLeases(now);
  const bool stale = role_.IsStale(now);
  if (core_.preserving() != preserving_ || stale != stale_) {
    if (core_.preserving() != preserving_)
      log_.Warn(now, "registry", "self-preservation", {{"zones", core_.preserving()}});
    if (stale != stale_) log_.Warn(now, "registry", stale ? "the list is stale" : "the list is fresh", {});
    preserving_ = core_.preserving();
    stale_ = stale;
    TellAllAnew();
  }
  looked_ = Now();
  timer_.expires_after(std::chrono::microseconds(kLookEvery));
  timer_.async_wait([this](ErrorCode error) {
    if (!error) Look();
  });
}

void Service::EndLeases(Micros now) {
  const Checked over = core_.CheckExpiries(now);
  if (!over.change) return;
  std::string why;
  if (Carry(*over.change, why)) {
    figures_.expired.Increment(static_cast<double>(over.change->entries.size()));
  } else {
    log_.Warn(now, "registry", "expiries not stored", {{"why", why}});
  }
}

bool Service::Carry(const Change& change, std::string& why) {
  const Micros begun = Now();
  try {
    store_.Commit(change);
  } catch (const StoreError& error) {
    why = error.what();
    log_.Warn(Now(), "registry", "not stored", {{"why", why}});
    return false;
  }
  figures_.commit.Observe(static_cast<double>(Now() - begun) / 1e6);
  core_.Commit(Now(), change);
  figures_.writes.Increment();
  TellAll();
  return true;
}

void Service::TellAll() {
  worded_.clear();
  for (const auto& session : std::set(sessions_)) session->Tell();
}

void Service::TellAllAnew() {
  worded_.clear();
  for (const auto& session : std::set(sessions_)) session->TellAnew();
}

Service::Text Service::OwedChunk(std::int64_t index, bool replica) {
  Text& text = worded_[{index, replica}];
  if (text == nullptr)
    text = std::make_shared<const std::string>(
        Chunk(replica ? ReplicaText(core_.ReplicaSince(index))
                      : ListText(core_.Since(index), core_.preserving(), stale_)));
  return text;
}

std::int64_t Service::SlowestLag() const {
  std::int64_t lag = 0;
  for (const auto& session : sessions_)
    if (session->watching()) lag = std::max(lag, core_.generation() - session->index());
  return lag;
}

Service::Answer Service::Handle(const std::string& method, const std::string& target,
                                const std::string& body) {
  const std::string path = target.substr(0, target.find('?'));
  if (method == "GET") {
    if (path == "/v1/endpoints") return {200, ListText(core_.Whole(), core_.preserving(), stale_)};
    if (path == "/v1/status") return Status();
    if (path == "/metrics") return Metrics();
    return {404, Error("no such path")};
  }
  if (method != "POST") return {405, Error("neither GET nor POST")};
  if (path != "/v1/snapshots" && path != "/v1/promote")
    if (const auto elsewhere = Elsewhere()) {
      figures_.refused.Increment();
      return *elsewhere;
    }
  try {
    if (path == "/v1/promote") return Promote(body);
    if (path == "/v1/writes") return Write(body);
    if (path == "/v1/renewals") return Renew(body);
    if (path == "/v1/snapshots") return TakeSnapshot(body);
    if (path == "/v1/preserving/stop") return StopPreserving(body);
  } catch (const JsonError& error) {
    figures_.refused.Increment();
    return {400, Error(error.what())};
  } catch (const StoreError& error) {
    return {503, Error(error.what())};
  }
  return {404, Error("no such path")};
}

Service::Answer Service::Write(const std::string& body) {
  const Checked checked = core_.Check(ParseBatch(body));
  if (checked.refusal != Refusal::kNone) {
    figures_.refused.Increment();
    const int status = checked.refusal == Refusal::kInvalid   ? 400
                       : checked.refusal == Refusal::kUnknown ? 404
                                                              : 409;
    return {status, Error(checked.why)};
  }
  std::string why;
  if (checked.change && !Carry(*checked.change, why)) return {503, Error(why)};
  return {200, nlohmann::json({{"generation", checked.generation}}).dump() + "\n"};
}

Service::Answer Service::Renew(const std::string& body) {
  nlohmann::json out = {
      {"renewed", 0}, {"unknown", nlohmann::json::array()}, {"conflict", nlohmann::json::array()}};
  int renewed = 0;
  for (const Renewal& one : ParseRenewals(body)) {
    const Refusal refusal = core_.Renew(Now(), one.id, one.holder);
    if (refusal == Refusal::kNone) {
      ++renewed;
      continue;
    }
    figures_.refused.Increment();
    out[refusal == Refusal::kUnknown ? "unknown" : "conflict"].push_back(one.id);
  }
  out["renewed"] = renewed;
  return {200, out.dump() + "\n"};
}

Service::Answer Service::TakeSnapshot(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("name") || !json["name"].is_string())
    throw JsonError("name: a text is needed");
  const auto name = json["name"].get<std::string>();
  if (config_.snapshots.empty()) return {403, Error("no directory for snapshots is configured")};
  if (name.empty() || name[0] == '.' || name.find('/') != std::string::npos ||
      name.find('\0') != std::string::npos)
    throw JsonError("name: a plain file name is needed");
  store_.Snapshot((std::filesystem::path(config_.snapshots) / name).string());
  log_.Info(Now(), "registry", "snapshot", {{"name", name}, {"generation", core_.generation()}});
  return {200, nlohmann::json({{"generation", core_.generation()}, {"name", name}}).dump() + "\n"};
}

Service::Answer Service::StopPreserving(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("zone") || !json["zone"].is_string())
    throw JsonError("zone: a text is needed");
  const auto zone = json["zone"].get<std::string>();
  if (core_.preserving().count(zone) == 0) return {404, Error(zone + ": is not under self-preservation")};
  core_.StopPreserving(zone);
  log_.Warn(Now(), "registry", "self-preservation stopped by hand", {{"zone", zone}});
  return {200, nlohmann::json({{"zone", zone}}).dump() + "\n"};
}

Service::Answer Service::Promote(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("epoch") || !json["epoch"].is_number_integer())
    throw JsonError("epoch: a whole number is needed");
  const auto epoch = json["epoch"].get<std::int64_t>();
  const bool force = json.contains("force") && json["force"].is_boolean() && json["force"].get<bool>();
  const std::string no = role_.MayPromote(Now(), epoch, core_.generation(), force);
  if (!no.empty()) return {409, Error(no)};
  const Checked checked = core_.CheckPromotion(epoch);
  if (checked.refusal != Refusal::kNone)
    return {checked.refusal == Refusal::kInvalid ? 400 : 409, Error(checked.why)};
  log_.Warn(Now(), "registry", "promoted", {{"epoch", epoch}, {"from", core_.generation()}});
  // The role first: a crash between the two leaves a primary of the old epoch, that asks the others and
  // follows, or writes where it is alone. The other order would leave a follower of an epoch that nobody has.
  store_.SetRole(/*follows=*/false);
  std::string why;
  if (!Carry(*checked.change, why)) return {503, Error(why)};
  role_.Promoted();
  core_.AfterPause(Now());  // nobody could renew here so far
  DecideRole();
  return {200, nlohmann::json({{"generation", core_.generation()}, {"epoch", core_.epoch()}}).dump() + "\n"};
}

// ---- Several registries ----

bool Service::Follows() const { return store_.follows() ? *store_.follows() : config_.follows; }

RoleCore Service::MakeRole() {
  if (!store_.follows()) store_.SetRole(config_.follows);
  return {config_.name, config_.others.size(), Follows(), config_.timing, Now()};
}

std::unique_ptr<Peers> Service::MakePeers() {
  if (config_.others.empty()) return nullptr;
  Peers::Events events;
  events.now = [] { return Now(); };
  events.generation = [this] { return core_.generation(); };
  events.on_replica = [this](const Replica& replica) { return OnReplica(replica); };
  events.on_heard = [this] { DecideRole(); };
  events.on_trouble = [this](const std::string& what, const std::string& who) {
    if (std::exchange(trouble_, who + what) == who + what) return;
    log_.Warn(Now(), "registry", "another registry", {{"who", who}, {"what", what}});
  };
  return std::make_unique<Peers>(io_, config_.others, role_, std::move(events));
}

std::optional<Service::Answer> Service::Elsewhere() const {
  if (Writes()) return std::nullopt;
  if (role_.role() == Role::kAsking) return Answer{503, Error("asks the other registries first")};
  if (!role_.rival().empty())
    return Answer{503, Error(role_.rival() + " is a primary of this epoch too: promote one of the two")};
  nlohmann::json out = {{"error", config_.name + " is a follower and writes nothing"}};
  if (const auto primary = role_.Primary(Now())) {
    out["primary"] = ToText(peers_->address(*primary));
    out["error"] = out["error"].get<std::string>() + ": write to " + out["primary"].get<std::string>();
  }
  return Answer{421, out.dump() + "\n"};
}

bool Service::OnReplica(const Replica& replica) {
  if (role_.role() != Role::kFollower) return false;
  const Checked checked = core_.CheckReplica(replica);
  if (checked.refusal != Refusal::kNone) {
    if (std::exchange(trouble_, checked.why) != checked.why)
      log_.Warn(Now(), "registry", "not taken from the registry that it follows", {{"why", checked.why}});
    return false;
  }
  std::string why;
  if (checked.change) {
    if (checked.change->NewEpoch() && role_.upstream())
      if (const Standing* const upstream = role_.Heard(Now(), *role_.upstream())) SetAside(*upstream);
    if (!Carry(*checked.change, why)) return false;
  }
  core_.SetPreserving(replica.preserving);
  role_.OnGeneration(core_.generation());
  return true;
}

// What this registry has and the later epoch did not begin with would be gone without a word: it is kept as a
// store of its own beside this one, for an operator to look at.
void Service::SetAside(const Standing& follows) {
  const bool next = follows.epoch() == core_.epoch() + 1;
  if (next && follows.began_from != 0 && core_.generation() <= follows.began_from) return;
  const std::string file = config_.store + ".aside-" + std::to_string(core_.generation());
  try {
    if (!std::filesystem::exists(file)) store_.Snapshot(file);
    log_.Warn(Now(), "registry", "set aside what a later epoch may lack",
              {{"file", file}, {"generation", core_.generation()}, {"epoch_began_from", follows.began_from}});
  } catch (const StoreError& error) {
    log_.Warn(Now(), "registry", "could not set aside", {{"why", error.what()}});
  }
}

void Service::DecideRole() {
  role_.Decide(Now(), core_.generation());
  if (peers_ != nullptr) peers_->Follow();
  if (role_.rival() != told_rival_) {
    told_rival_ = role_.rival();
    log_.Warn(Now(), "registry", told_rival_.empty() ? "no rival any more" : "another primary of this epoch",
              {{"who", told_rival_}});
  }
  if (role_.role() == told_role_) return;
  told_role_ = role_.role();
  log_.Warn(Now(), "registry", "role", {{"role", Name(told_role_)}, {"epoch", core_.epoch()}});
  try {
    if (told_role_ == Role::kFollower) store_.SetRole(/*follows=*/true);
  } catch (const StoreError& error) {
    log_.Warn(Now(), "registry", "role not stored", {{"why", error.what()}});
  }
  if (told_role_ == Role::kPrimary) core_.AfterPause(Now());
}

Service::Answer Service::Status() const {
  const Core::Counts counts = core_.Count(Now());
  const Standing own = role_.Own(Now(), core_.generation(), store_.began_from());
  const nlohmann::ordered_json out = {{"name", own.name},
                                      {"role", Name(own.role)},
                                      {"path", own.path},
                                      {"stale_ms", own.stale / 1000},
                                      {"rival", role_.rival()},
                                      {"began_from", own.began_from},
                                      {"epoch", core_.epoch()},
                                      {"generation", core_.generation()},
                                      {"change", core_.generation() % kEpochUnit},
                                      {"up", counts.up},
                                      {"draining", counts.draining},
                                      {"leases", counts.leases},
                                      {"overdue", counts.overdue},
                                      {"preserving", core_.preserving()},
                                      {"watchers", watchers_},
                                      {"slowest_lag", SlowestLag()}};
  return {200, out.dump() + "\n"};
}

Service::Answer Service::Metrics() {
  const Core::Counts counts = core_.Count(Now());
  figures_.generation.Set(static_cast<double>(core_.generation()));
  figures_.epoch.Set(static_cast<double>(core_.epoch()));
  figures_.watchers.Set(static_cast<double>(watchers_));
  figures_.lag.Set(static_cast<double>(SlowestLag()));
  figures_.up.Set(static_cast<double>(counts.up));
  figures_.draining.Set(static_cast<double>(counts.draining));
  figures_.leases.Set(static_cast<double>(counts.leases));
  figures_.overdue.Set(static_cast<double>(counts.overdue));
  figures_.role.Set(Writes() ? 1 : 0);
  figures_.stale.Set(static_cast<double>(role_.Stale(Now())) / 1e6);
  figures_.rivals.Set(role_.rival().empty() ? 0 : 1);
  figures_.preserving.Set(static_cast<double>(core_.preserving().size()));
  return {200, figures_.Text(), "text/plain; version=0.0.4"};
}

}  // namespace violetwing::registry
