#include "lab/discovery/shell.hpp"

#include <charconv>
#include <cstdio>
#include <deque>
#include <optional>
#include <utility>

namespace violetwing::lab {
namespace {

constexpr Micros kBeat = 2'000'000;  // an empty line as long as nothing changes

std::string Chunk(const std::string& text) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

// The number behind `index=`, or none.
std::optional<std::int64_t> Index(const std::string& target) {
  const std::size_t at = target.find("index=");
  if (at == std::string::npos) return std::nullopt;
  std::int64_t index = 0;
  const auto [end, error] = std::from_chars(target.data() + at + 6, target.data() + target.size(), index);
  return error == std::errc() ? std::optional(index) : std::nullopt;
}

}  // namespace

class DiscoverySession : public std::enable_shared_from_this<DiscoverySession> {
 public:
  DiscoverySession(DiscoveryShell& owner, Tcp::socket socket, int sidecar)
      : owner_(&owner), socket_(std::move(socket)), beat_(owner.io_), sidecar_(sidecar) {}

  void Read() {
    parser_.emplace();
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error || self->owner_ == nullptr) return self->Close();
      self->Handle();
    });
  }

  // What has changed since the last line, if this is a watch and anything has.
  void Tell() {
    if (!watching_) return;
    const DiscoveryCore& core = owner_->stale_ ? owner_->told_ : owner_->core_;
    if (core.generation() == index_) return;
    Tell(core.Since(index_));
  }

  // Discovery is gone.
  void Abandon() {
    owner_ = nullptr;
    Reset(socket_);
  }
  void End(bool reset) {
    if (owner_ == nullptr) return;
    owner_ = nullptr;
    beat_.cancel();
    ErrorCode ignored;
    if (reset) {
      Reset(socket_);
    } else {
      socket_.close(ignored);
    }
  }

 private:
  struct Line {
    std::string text;
    std::vector<ToldRecord> told;
  };

  void Handle() {
    ++owner_->records_.discovery_calls;
    const std::string target(parser_->get().target());
    if (owner_->overbooked_)
      return Queue({"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", {}}, /*then_read=*/true);
    if (target.rfind("/v1/endpoints", 0) != 0)
      return Queue({"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", {}}, /*then_read=*/true);
    const DiscoveryCore& core = owner_->stale_ ? owner_->told_ : owner_->core_;
    if (target.find("stream=1") == std::string::npos) {
      Line line = LineOf(core.Whole());
      line.text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(line.text.size()) + "\r\n\r\n" + line.text;
      return Queue(std::move(line), /*then_read=*/true);
    }
    watching_ = true;
    Queue({"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n", {}},
          false);
    Tell(core.Since(Index(target).value_or(0)));
    Beat();
    WatchForEnd();
  }

  Line LineOf(const DiscoveryCore::Answer& answer) const {
    Line line{owner_->Text(sidecar_, answer).dump() + "\n", {}};
    for (const Entry& entry : answer.entries) line.told.push_back({sidecar_, entry.id, entry.lifecycle, 0});
    return line;
  }

  void Tell(const DiscoveryCore::Answer& answer) {
    index_ = answer.generation;
    Line line = LineOf(answer);
    line.text = Chunk(line.text);
    Queue(std::move(line), false);
  }

  void Beat() {
    beat_.expires_after(std::chrono::microseconds(kBeat));
    beat_.async_wait([self = shared_from_this()](ErrorCode error) {
      if (error || self->owner_ == nullptr) return;
      self->Queue({Chunk("\n"), {}}, false);
      self->Beat();
    });
  }

  void WatchForEnd() {
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode) { self->Close(); });
  }

  void Queue(Line line, bool then_read) {
    lines_.push_back(std::move(line));
    then_read_ = then_read;
    if (lines_.size() == 1) Write();
  }

  void Write() {
    asio::async_write(socket_, asio::buffer(lines_.front().text),
                      [self = shared_from_this()](ErrorCode error, std::size_t) {
                        if (error || self->owner_ == nullptr) return self->Close();
                        for (ToldRecord& told : self->lines_.front().told) {
                          told.at = self->owner_->clock_.Now();
                          self->owner_->records_.told.push_back(std::move(told));
                        }
                        self->lines_.pop_front();
                        if (!self->lines_.empty()) return self->Write();
                        if (self->then_read_) self->Read();
                      });
  }

  void Close() {
    if (owner_ == nullptr) return;
    DiscoveryShell* const owner = owner_;
    End(/*reset=*/false);
    owner->sessions_.erase(shared_from_this());
  }

  DiscoveryShell* owner_;  // null once it is over
  Tcp::socket socket_;
  asio::steady_timer beat_;
  int sidecar_;
  bool watching_ = false;
  bool then_read_ = false;
  std::int64_t index_ = 0;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::empty_body>> parser_;
  std::deque<Line> lines_;
};

DiscoveryShell::DiscoveryShell(asio::io_context& io, const Clock& clock, const Scenario& scenario,
                               Records& records, Writer writer, std::function<void(Door::State)> on_door)
    : io_(io),
      clock_(clock),
      scenario_(scenario),
      records_(records),
      writer_(std::move(writer)),
      on_door_(std::move(on_door)),
      doors_(MakeDoors()) {}

DiscoveryShell::~DiscoveryShell() {
  for (const auto& session : sessions_) session->Abandon();
}

DiscoveryShell::Doors DiscoveryShell::MakeDoors() {
  Doors out;
  for (int i = 0; i < scenario_.fleet.sidecars; ++i)
    out.push_back(std::make_unique<Door>(io_, [this, i](Tcp::socket socket) {
      if (static_cast<int>(sessions_.size()) >= scenario_.discovery.watchers) return;  // closes it
      const auto session = std::make_shared<DiscoverySession>(*this, std::move(socket), i);
      sessions_.insert(session);
      session->Read();
    }));
  return out;
}

void DiscoveryShell::SetDoors() {
  const Door::State state = up_ ? Door::State::kOpen : Door::State::kRefusing;
  for (const auto& door : doors_) door->Set(state);
  if (on_door_) on_door_(state);
}

void DiscoveryShell::EndAll() {
  for (const auto& session : std::exchange(sessions_, {})) session->End(/*reset=*/true);
}

void DiscoveryShell::TellAll() {
  for (const auto& session : sessions_) session->Tell();
}

void DiscoveryShell::Put(const Entry& entry) {
  core_.Put(entry);
  records_.changes.push_back({entry.id, entry.lifecycle, clock_.Now()});
  TellAll();
}

void DiscoveryShell::Up(bool up) {
  up_ = up;
  SetDoors();
  if (!up) EndAll();
}

void DiscoveryShell::Overbooked(bool overbooked) {
  overbooked_ = overbooked;
  if (overbooked) EndAll();
}

void DiscoveryShell::Stale(bool stale) {
  if (stale && !stale_) told_ = core_;
  stale_ = stale;
  TellAll();
}

void DiscoveryShell::BeginAgain() {
  core_.BeginAgain();
  EndAll();
}

void DiscoveryShell::Move(Micros keep) {
  for (const auto& door : doors_) door->Set(Door::State::kRefusing);
  old_doors_.push_back(std::exchange(doors_, MakeDoors()));
  SetDoors();
  timers_.push_back(std::make_unique<asio::steady_timer>(io_, std::chrono::microseconds(keep)));
  timers_.back()->async_wait([this, old = sessions_](ErrorCode error) {
    if (error) return;
    for (const auto& session : old) {
      session->End(/*reset=*/false);
      sessions_.erase(session);
    }
  });
}

nlohmann::ordered_json DiscoveryShell::Text(int sidecar, const DiscoveryCore::Answer& answer) const {
  nlohmann::ordered_json instances = nlohmann::ordered_json::array();
  for (const Entry& entry : answer.entries) instances.push_back(writer_(sidecar, entry));
  return {{"generation", answer.generation}, {"reset", answer.reset}, {"instances", std::move(instances)}};
}

}  // namespace violetwing::lab
