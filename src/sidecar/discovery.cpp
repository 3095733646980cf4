#include "sidecar/discovery.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

namespace violetwing::sidecar {
namespace {

constexpr std::size_t kMostLine = std::size_t{4} * 1024 * 1024;  // some 20,000 servers
constexpr std::int64_t kMostUnixMs = std::int64_t{1} << 49;      // the module takes times under 2^60 us

// Waits before another registry is asked. Lists may be seconds old by design (ask_within); 5,000 sidecars
// that come within the first half second are 10 a millisecond, what a registry words and writes in that time.
constexpr Micros kFailoverBase = 500'000;
constexpr Micros kMostFailover = 8'000'000;  // within the time for asking, 10 s

std::optional<ServerInfo::State> ParseLifecycle(const std::string& word) {
  if (word == "up") return ServerInfo::State::kHealthy;
  if (word == "draining") return ServerInfo::State::kDraining;
  if (word == "removed") return ServerInfo::State::kRemoved;
  return std::nullopt;
}

Endpoint ParseEntry(const nlohmann::json& json, const bench_adapter::WireSettings& names,
                    std::string& error) {
  Endpoint out;
  out.info.id = json.at("instanceId").get<std::string>();
  if (out.info.id.empty()) error = "an empty instanceId";
  const auto state = ParseLifecycle(json.at("lifecycle").get<std::string>());
  if (!state) error = "an unknown lifecycle";
  out.info.state = state.value_or(ServerInfo::State::kRemoved);
  const auto address = ParseAddress(json.value("hostPort", std::string()));
  if (!address && out.info.state != ServerInfo::State::kRemoved) error = "a hostPort that is no address";
  out.address = address.value_or(Tcp::endpoint());
  out.info.zone = bench_adapter::IndexOf(names.zones, json.value("zone", std::string()));
  out.info.machine = bench_adapter::IndexOf(names.machines, json.value("machineType", std::string()));
  out.info.cell = json.value("cell", std::int64_t{-1});
  out.info.weight = json.value("weight", 1.0);
  const auto started = json.value("startedAtMs", std::int64_t{0});
  if (started < 0 || started > kMostUnixMs) error = "a startedAtMs out of range";
  out.info.started = std::clamp<std::int64_t>(started, 0, kMostUnixMs) * 1000;
  return out;
}

std::string_view Trimmed(std::string_view line) {
  const std::size_t first = line.find_first_not_of(" \t\r");
  return first == std::string_view::npos ? ""
                                         : line.substr(first, line.find_last_not_of(" \t\r") + 1 - first);
}

// Brackets of a line of JSON that are opened and not closed in it; no string goes over a line's end.
int Opened(std::string_view line) {
  int open = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < line.size(); ++i) {
    const char c = line[i];
    if (quoted && c == '\\') {
      ++i;
    } else if (c == '"') {
      quoted = !quoted;
    } else if (!quoted) {
      open += (c == '{' || c == '[') - (c == '}' || c == ']');
    }
  }
  return open;
}

}  // namespace

std::optional<Tcp::endpoint> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  ErrorCode bad;
  const auto host = asio::ip::make_address(std::string(text.substr(0, colon)), bad);
  std::uint16_t port = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
  if (bad || error != std::errc() || end != last || port == 0) return std::nullopt;
  return Tcp::endpoint(host, port);
}

std::optional<EndpointList> ParseList(const nlohmann::json& json, const bench_adapter::WireSettings& names,
                                      std::string& error) {
  error.clear();
  try {
    EndpointList list;
    list.generation = json.at("generation").get<std::int64_t>();
    list.complete = json.at("reset").get<bool>();
    list.stale = json.value("stale", false);
    for (const nlohmann::json& entry : json.at("instances"))
      list.endpoints.push_back(ParseEntry(entry, names, error));
    if (error.empty()) return list;
  } catch (const nlohmann::json::exception& wrong) {  // a member that is missing or of another type
    error = wrong.what();
  }
  return std::nullopt;
}

Discovery::Timing Discovery::TimingFor(const Settings& settings, std::size_t addresses) {
  Timing timing;
  timing.reopens = !settings.must_subscribe;
  // Where lists are pushed, all that the agent gets while it cannot be reached counts as told when it is
  // back: the grace is all there is for the wait and for the answer.
  if (timing.reopens && settings.drain_grace > 0) {
    timing.backoff_most = std::min(timing.backoff_most, settings.drain_grace / 4);
    timing.backoff_base = std::min(timing.backoff_base, timing.backoff_most);
  }
  // Those who lose one of several registries come to the others within seconds, not all in the same instant.
  if (addresses > 1) timing.backoff_base = kFailoverBase, timing.backoff_most = kMostFailover;
  return timing;
}

// One watch, from its connection to its end. Reports its end once, unless it is stopped first. Its answer is
// read at once whenever there is something, and never by a read that is out: so all of it can be had before a
// decision (ReadPending).
class Discovery::Stream : public std::enable_shared_from_this<Stream> {
 public:
  explicit Stream(Discovery& owner) : owner_(&owner), socket_(owner.io_), silence_(owner.io_) {}

  void Open() {
    request_.method(http::verb::get);
    request_.target("/v1/endpoints?stream=1&index=" + std::to_string(owner_->generation_));
    request_.set(http::field::host, "discovery");
    ExpectProgress();
    socket_.async_connect(owner_->address(), [self = shared_from_this()](ErrorCode error) {
      if (error) return self->End(error.message());
      self->Ask();
    });
  }

  void Stop() {
    Abandon();
    silence_.cancel();
  }

  // Cancels no timer, as that may throw: for the owner's destructor. What is called back finds nobody.
  void Abandon() {
    owner_ = nullptr;
    ErrorCode ignored;
    socket_.close(ignored);
  }

  // Reads what is there, until there is no more.
  void ReadPending() {
    const auto kept = shared_from_this();
    while (asked_ && owner_ != nullptr && ReadSome()) {
    }
  }

 private:
  // Guards against a discovery that is cut off: such a connection stays open and silent for ever.
  void ExpectProgress() {
    silence_.expires_after(std::chrono::microseconds(owner_->timing_.silence));
    silence_.async_wait([self = shared_from_this()](ErrorCode moved) {
      if (moved || self->owner_ == nullptr) return;
      // What has come before the process got to this is no silence, and moves its end.
      self->ReadPending();
      const bool silent = self->silence_.expiry() <= std::chrono::steady_clock::now();
      if (self->owner_ != nullptr && silent) self->End("it fell silent");
    });
  }

  void Ask() {
    if (owner_ == nullptr) return;
    http::async_write(socket_, request_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error) return self->End(error.message());
      if (self->owner_ == nullptr) return;
      ErrorCode failed;
      self->socket_.non_blocking(true, failed);
      if (failed) return self->End(failed.message());
      self->parser_.body_limit(boost::none);
      self->asked_ = true;
      self->AwaitMore();
    });
  }

  void AwaitMore() {
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
      if (error) return self->End(error.message());
      self->ReadPending();
      if (self->owner_ != nullptr) self->AwaitMore();
    });
  }

  // False if there is nothing more now.
  bool ReadSome() {
    if (parser_.is_done()) {
      End("the watch ended");
      return false;
    }
    const bool had_header = parser_.is_header_done();
    auto& body = parser_.get().body();
    body.data = piece_.data();
    body.size = piece_.size();
    body.more = true;
    ErrorCode error;
    http::read_some(socket_, buffer_, parser_, error);
    if (error == asio::error::would_block) return false;
    if (error == http::error::need_buffer) error = {};
    if (error) {
      End(error.message());
      return false;
    }
    ExpectProgress();
    if (!had_header && parser_.is_header_done() && parser_.get().result() != http::status::ok) {
      End("not answered with 200");
      return false;
    }
    TakePiece();
    return true;
  }

  void TakePiece() {
    line_.append(piece_.data(), piece_.size() - parser_.get().body().size);
    std::size_t begin = 0;
    for (std::size_t end = line_.find('\n'); end != std::string::npos; end = line_.find('\n', begin)) {
      TakeLine(std::string_view(line_).substr(begin, end - begin));
      if (owner_ == nullptr) return;
      begin = end + 1;
    }
    line_.erase(0, begin);
    if (line_.size() + indented_.size() > kMostLine) End("a line without end", true);
  }

  // One list, or one line of an indented list: that begins with a line of one bracket, holds no empty line,
  // and is over with the line that closes it.
  void TakeLine(std::string_view line) {
    const std::string_view text = Trimmed(line);
    if (indented_.empty() && text != "{") {
      if (!text.empty()) owner_->OnLine(std::string(line));
      return;
    }
    indented_.append(line);
    opened_ += Opened(text);
    if (opened_ > 0 && !text.empty()) return;
    opened_ = 0;
    owner_->OnLine(std::exchange(indented_, {}));
  }

  void End(const std::string& reason, bool bad_input = false) {
    if (owner_ == nullptr) return;
    Discovery* const owner = owner_;
    Stop();
    owner->OnEnd(reason, bad_input);
  }

  Discovery* owner_;  // null once the watch is over
  Tcp::socket socket_;
  asio::steady_timer silence_;
  beast::flat_buffer buffer_{kMostUnparsed};
  http::request<http::empty_body> request_;
  http::response_parser<http::buffer_body> parser_;
  std::array<char, kReadSize> piece_{};
  std::string line_;      // that has not come whole
  std::string indented_;  // lines of a list that has not
  int opened_ = 0;        // its brackets that are open
  bool asked_ = false;    // the call has been written
};

Discovery::Discovery(asio::io_context& io, std::vector<Tcp::endpoint> addresses,
                     const bench_adapter::WireSettings& names, Timing timing, std::uint64_t seed,
                     Events events)
    : io_(io),
      addresses_(std::move(addresses)),
      names_(names),
      timing_(timing),
      events_(std::move(events)),
      random_(seed),
      backoff_(io) {}

Discovery::~Discovery() {
  if (stream_ != nullptr) stream_->Abandon();
}

void Discovery::Watch(std::int64_t generation) {
  if (stream_ != nullptr) return;
  generation_ = generation;
  Open();
}

void Discovery::ReadPending() {
  if (const auto stream = stream_) stream->ReadPending();
}

void Discovery::SwitchAddresses(std::vector<Tcp::endpoint> addresses, std::int64_t generation) {
  addresses_ = std::move(addresses);
  at_ = tried_ = 0;
  backoff_.cancel();
  failures_ = 0;  // they were the old address's
  complained_ = false;
  if (stream_ != nullptr) std::exchange(stream_, nullptr)->Stop();
  Watch(generation);
}

void Discovery::Open() {
  stream_ = std::make_shared<Stream>(*this);
  stream_->Open();
}

void Discovery::OnLine(const std::string& line) {
  std::string error = "no JSON";
  const auto json = nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
  const auto list = json.is_discarded() ? std::nullopt : ParseList(json, names_, error);
  if (list && list->generation < generation_) error = "older than the list that is in use";
  if (list && list->complete && list->endpoints.empty()) error = "a whole list of no servers";
  if (!list || !error.empty() || (events_.may_take && !events_.may_take(json, error))) {
    std::exchange(stream_, nullptr)->Stop();
    return OnEnd(error, /*bad_input=*/true);
  }
  failures_ = 0;
  complained_ = false;
  generation_ = list->generation;
  events_.on_list(*list);
  if (addresses_.size() < 2 || stream_ == nullptr) return;
  if (!list->stale) {
    tried_ = 0;
    backoff_.cancel();
  } else if (tried_ < addresses_.size()) {
    LookElsewhere();
  } else {
    StayForNow();
  }
}

void Discovery::LookElsewhere() {
  std::exchange(stream_, nullptr)->Stop();
  OnEnd("a list of long ago", /*bad_input=*/false);
}

// All are stale or gone, so this one may be the first to be told something again: the watch stays, and the
// others are looked at now and then.
void Discovery::StayForNow() {
  tried_ = 0;
  backoff_.expires_after(std::chrono::microseconds(
      std::uniform_int_distribution<Micros>(timing_.stale_stay, 2 * timing_.stale_stay)(random_)));
  backoff_.async_wait([this](ErrorCode error) {
    if (!error && stream_ != nullptr) LookElsewhere();
  });
}

// Any of the others alike: were it always the next, all that a lost registry had would meet at one.
void Discovery::GoToAnother() {
  if (addresses_.size() < 2) return;
  ++tried_;
  const std::size_t step = std::uniform_int_distribution<std::size_t>(1, addresses_.size() - 1)(random_);
  at_ = (at_ + step) % addresses_.size();
}

void Discovery::OnEnd(const std::string& reason, bool bad_input) {
  stream_ = nullptr;
  if (bad_input && !std::exchange(complained_, true))  // once: it may say the same at each reopening
    std::fprintf(stderr, "discovery: the list is kept as it was: %.200s\n", reason.c_str());
  GoToAnother();
  events_.on_failed();
  if (!timing_.reopens) return;
  // Jitter guards against all sidecars coming back in the same instant when discovery does.
  const Micros most = std::min(timing_.backoff_base << std::min(failures_++, 10), timing_.backoff_most);
  backoff_.expires_after(std::chrono::microseconds(std::uniform_int_distribution<Micros>(0, most)(random_)));
  backoff_.async_wait([this](ErrorCode error) {
    if (!error && stream_ == nullptr) Open();
  });
}

}  // namespace violetwing::sidecar
