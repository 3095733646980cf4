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

#include "common/http_response.hpp"

namespace violetwing::sidecar {
namespace {

constexpr std::size_t kMaxLineBytes = std::size_t{4} * 1024 * 1024;  // about 20,000 servers
constexpr std::int64_t kMaxUnixMs = std::int64_t{1} << 49;           // the module accepts times below 2^60 us

// Backoff before the next of several registries is tried. Lists may be seconds old by design (ask_within). If
// 5,000 sidecars reconnect within the first half second, that is 10 per millisecond: as many lists as a
// registry serializes and sends in that time.
constexpr Micros kFailoverBackoffBase = 500'000;
constexpr Micros kFailoverBackoffMax = 8'000'000;  // below the 10 s within which a list must be requested

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
  if (out.info.id.empty()) error = "instanceId is empty";
  const auto state = ParseLifecycle(json.at("lifecycle").get<std::string>());
  if (!state) error = "unknown lifecycle";
  out.info.state = state.value_or(ServerInfo::State::kRemoved);
  const auto address = ParseAddress(json.value("hostPort", std::string()));
  if (!address && out.info.state != ServerInfo::State::kRemoved)
    error = "hostPort is not an address with a port";
  out.address = address.value_or(Tcp::endpoint());
  out.info.zone = bench_adapter::IndexOf(names.zones, json.value("zone", std::string()));
  out.info.machine = bench_adapter::IndexOf(names.machines, json.value("machineType", std::string()));
  out.info.cell = json.value("cell", std::int64_t{-1});
  out.info.weight = json.value("weight", 1.0);
  const auto started = json.value("startedAtMs", std::int64_t{0});
  if (started < 0 || started > kMaxUnixMs) error = "startedAtMs is out of range";
  out.info.started = std::clamp<std::int64_t>(started, 0, kMaxUnixMs) * 1000;
  return out;
}

std::string_view Trim(std::string_view line) {
  const std::size_t first = line.find_first_not_of(" \t\r");
  return first == std::string_view::npos ? ""
                                         : line.substr(first, line.find_last_not_of(" \t\r") + 1 - first);
}

// The number of brackets that a line of JSON opens minus those that it closes. JSON strings never span lines.
int UnclosedBrackets(std::string_view line) {
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
  ErrorCode host_error;
  const auto host = asio::ip::make_address(std::string(text.substr(0, colon)), host_error);
  std::uint16_t port = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
  if (host_error || error != std::errc() || end != last || port == 0) return std::nullopt;
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
  } catch (const nlohmann::json::exception& wrong) {  // a missing member or one of the wrong type
    error = wrong.what();
  }
  return std::nullopt;
}

Discovery::Timing Discovery::TimingFor(const Settings& settings, std::size_t addresses) {
  Timing timing;
  timing.reopens = !settings.must_subscribe;
  // If lists are pushed, all that was sent while this sidecar was unreachable counts as delivered once it is
  // reachable again. The backoff and the response must then fit into the drain grace period.
  if (timing.reopens && settings.drain_grace > 0) {
    timing.backoff_max = std::min(timing.backoff_max, settings.drain_grace / 4);
    timing.backoff_base = std::min(timing.backoff_base, timing.backoff_max);
  }
  // Sidecars that lose one of several registries move to the others over a few seconds, not all at once.
  if (addresses > 1) timing.backoff_base = kFailoverBackoffBase, timing.backoff_max = kFailoverBackoffMax;
  return timing;
}

// One watch, from its connection to its end. Reports the end once, unless it is stopped before. It waits for
// the socket to be readable and then reads without blocking; no asynchronous read is ever pending, so that
// ReadPending can read all received data before a decision.
class Discovery::Stream : public std::enable_shared_from_this<Stream> {
 public:
  explicit Stream(Discovery& owner) : owner_(&owner), socket_(owner.io_), silence_timer_(owner.io_) {}

  void Open() {
    request_.method(http::verb::get);
    request_.target("/v1/endpoints?stream=1&index=" + std::to_string(owner_->generation_));
    request_.set(http::field::host, "discovery");
    RestartSilenceTimer();
    socket_.async_connect(owner_->address(), [self = shared_from_this()](ErrorCode error) {
      if (error) return self->End(error.message());
      self->SendRequest();
    });
  }

  void Stop() {
    Detach();
    silence_timer_.cancel();
  }

  // For the owner's destructor: cancels no timer, as that may throw. Later callbacks find no owner and
  // return.
  void Detach() {
    owner_ = nullptr;
    ErrorCode ignored;
    socket_.close(ignored);
  }

  // Reads until no more data is available.
  void ReadPending() {
    const auto keep_alive = shared_from_this();
    while (request_sent_ && owner_ != nullptr && ReadSome()) {
    }
  }

 private:
  // Detects a network partition, in which the connection would stay open and silent forever.
  void RestartSilenceTimer() {
    silence_timer_.expires_after(std::chrono::microseconds(owner_->timing_.silence_timeout));
    silence_timer_.async_wait([self = shared_from_this()](ErrorCode cancelled) {
      if (cancelled || self->owner_ == nullptr) return;
      // Data that arrived before this callback ran is not silence; reading it restarts the timer.
      self->ReadPending();
      const bool silent = self->silence_timer_.expiry() <= std::chrono::steady_clock::now();
      if (self->owner_ != nullptr && silent) self->End("no data within the silence timeout");
    });
  }

  void SendRequest() {
    if (owner_ == nullptr) return;
    http::async_write(socket_, request_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error) return self->End(error.message());
      if (self->owner_ == nullptr) return;
      ErrorCode failed;
      self->socket_.non_blocking(true, failed);
      if (failed) return self->End(failed.message());
      self->ExpectResponse();
      self->request_sent_ = true;
      self->WaitUntilReadable();
    });
  }

  void ExpectResponse() {
    parser_.emplace();
    parser_->body_limit(boost::none);
  }

  void WaitUntilReadable() {
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
      if (error) return self->End(error.message());
      self->ReadPending();
      if (self->owner_ != nullptr) self->WaitUntilReadable();
    });
  }

  // Returns false if no more data is available now or the watch ended.
  bool ReadSome() {
    if (parser_->is_done()) {
      End("the watch ended");
      return false;
    }
    const bool had_header = parser_->is_header_done();
    auto& body = parser_->get().body();
    body.data = read_data_.data();
    body.size = read_data_.size();
    body.more = true;
    ErrorCode error;
    http::read_some(socket_, buffer_, *parser_, error);
    if (error == asio::error::would_block) return false;
    if (error == http::error::need_buffer) error = {};
    const bool has_read_header = !had_header && parser_->is_header_done();
    if (!error && has_read_header) error = CheckResponseHead(parser_->get());
    if (error) {
      End(error.message());
      return false;
    }
    RestartSilenceTimer();
    if (has_read_header && IsInterimResponse(parser_->get())) {
      ExpectResponse();
      return true;
    }
    if (has_read_header && parser_->get().result() != http::status::ok) {
      End("response status is not 200");
      return false;
    }
    HandleReadData();
    return true;
  }

  void HandleReadData() {
    partial_line_.append(read_data_.data(), read_data_.size() - parser_->get().body().size);
    std::size_t begin = 0;
    for (std::size_t end = partial_line_.find('\n'); end != std::string::npos;
         end = partial_line_.find('\n', begin)) {
      HandleLine(std::string_view(partial_line_).substr(begin, end - begin));
      if (owner_ == nullptr) return;
      begin = end + 1;
    }
    partial_line_.erase(0, begin);
    if (partial_line_.size() + indented_list_.size() > kMaxLineBytes) End("line too long", true);
  }

  // Handles a list on one line, or one line of an indented list. An indented list starts with a line that has
  // only an opening bracket, contains no empty line, and ends with the line that closes that bracket.
  void HandleLine(std::string_view line) {
    const std::string_view text = Trim(line);
    if (indented_list_.empty() && text != "{") {
      if (!text.empty()) owner_->OnLine(std::string(line));
      return;
    }
    indented_list_.append(line);
    open_brackets_ += UnclosedBrackets(text);
    if (open_brackets_ > 0 && !text.empty()) return;
    open_brackets_ = 0;
    owner_->OnLine(std::exchange(indented_list_, {}));
  }

  void End(const std::string& reason, bool bad_input = false) {
    if (owner_ == nullptr) return;
    Discovery* const owner = owner_;
    Stop();
    owner->OnWatchEnded(reason, bad_input);
  }

  Discovery* owner_;  // null once the watch has ended
  Tcp::socket socket_;
  asio::steady_timer silence_timer_;
  beast::flat_buffer buffer_{kMaxUnparsedBytes};
  http::request<http::empty_body> request_;
  std::optional<http::response_parser<http::buffer_body>> parser_;
  std::array<char, kReadSize> read_data_{};
  std::string partial_line_;   // received without its end so far
  std::string indented_list_;  // lines of an incomplete indented list
  int open_brackets_ = 0;      // unclosed brackets in it
  bool request_sent_ = false;  // the request has been written
};

Discovery::Discovery(asio::io_context& io, std::vector<Tcp::endpoint> addresses,
                     const bench_adapter::WireSettings& names, Timing timing, std::uint64_t seed,
                     Events events)
    : io_(io),
      addresses_(std::move(addresses)),
      names_(names),
      timing_(timing),
      events_(std::move(events)),
      rng_(seed),
      reopen_timer_(io) {}

Discovery::~Discovery() {
  if (stream_ != nullptr) stream_->Detach();
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
  current_ = address_changes_ = 0;
  reopen_timer_.cancel();
  failures_ = 0;  // they concerned the old addresses
  logged_bad_input_ = false;
  if (stream_ != nullptr) std::exchange(stream_, nullptr)->Stop();
  Watch(generation);
}

void Discovery::Open() {
  stream_ = std::make_shared<Stream>(*this);
  stream_->Open();
}

void Discovery::OnLine(const std::string& line) {
  std::string error = "not valid JSON";
  const auto json = nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
  const auto list = json.is_discarded() ? std::nullopt : ParseList(json, names_, error);
  if (list && list->generation < generation_) error = "older than the current list";
  if (list && list->complete && list->endpoints.empty()) error = "complete list without servers";
  if (!list || !error.empty() || (events_.accept_list && !events_.accept_list(json, error))) {
    std::exchange(stream_, nullptr)->Stop();
    return OnWatchEnded(error, /*bad_input=*/true);
  }
  failures_ = 0;
  logged_bad_input_ = false;
  generation_ = list->generation;
  events_.on_list(*list);
  if (addresses_.size() < 2 || stream_ == nullptr) return;
  if (!list->stale) {
    address_changes_ = 0;
    reopen_timer_.cancel();
  } else if (address_changes_ < addresses_.size()) {
    LeaveStaleAddress();
  } else {
    ScheduleStaleRetry();
  }
}

void Discovery::LeaveStaleAddress() {
  std::exchange(stream_, nullptr)->Stop();
  OnWatchEnded("stale list", /*bad_input=*/false);
}

// All addresses are stale or unreachable. The current one may be the first to recover, so the watch stays
// open and the others are tried from time to time.
void Discovery::ScheduleStaleRetry() {
  address_changes_ = 0;
  reopen_timer_.expires_after(std::chrono::microseconds(
      std::uniform_int_distribution<Micros>(timing_.stale_retry, 2 * timing_.stale_retry)(rng_)));
  reopen_timer_.async_wait([this](ErrorCode error) {
    if (!error && stream_ != nullptr) LeaveStaleAddress();
  });
}

// Picks one of the other addresses at random. Always taking the next one would send all sidecars of a failed
// registry to the same one.
void Discovery::PickAnotherAddress() {
  if (addresses_.size() < 2) return;
  ++address_changes_;
  const std::size_t step = std::uniform_int_distribution<std::size_t>(1, addresses_.size() - 1)(rng_);
  current_ = (current_ + step) % addresses_.size();
}

void Discovery::OnWatchEnded(const std::string& reason, bool bad_input) {
  stream_ = nullptr;
  if (bad_input && !std::exchange(logged_bad_input_, true))  // once, as each reopening may deliver the same
    std::fprintf(stderr, "discovery: rejected the received list, keeping the current one: %.200s\n",
                 reason.c_str());
  PickAnotherAddress();
  events_.on_watch_ended();
  if (!timing_.reopens) return;
  // The jitter prevents all sidecars from reconnecting at the same time when discovery recovers.
  const Micros max_wait = std::min(timing_.backoff_base << std::min(failures_++, 10), timing_.backoff_max);
  reopen_timer_.expires_after(
      std::chrono::microseconds(std::uniform_int_distribution<Micros>(0, max_wait)(rng_)));
  reopen_timer_.async_wait([this](ErrorCode error) {
    if (!error && stream_ == nullptr) Open();
  });
}

}  // namespace violetwing::sidecar
