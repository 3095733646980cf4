#include "lab/registries.hpp"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace violetwing::lab {
namespace {

constexpr Micros kLookEvery = 20'000;
constexpr int kMostLooks = 500;   // for all of them to end: 10 s
constexpr int kMostTries = 3000;  // for them to begin: a minute

int Number(const nlohmann::json& json, const char* key) {
  return json.is_object() && json.contains(key) ? json.at(key).get<int>() : 0;
}

Lifecycle Parse(const std::string& word) {
  return word == "up" ? Lifecycle::kUp : word == "draining" ? Lifecycle::kDraining : Lifecycle::kRemoved;
}

}  // namespace

Registries::Registries(RegistryWorld world)
    : world_(std::move(world)),
      children_(world_.io),
      views_(static_cast<std::size_t>(world_.scenario.fleet.sidecars)) {
  nodes_.resize(static_cast<std::size_t>(world_.scenario.registry.count));
  for (Node& node : nodes_) node.door = std::make_unique<Door>(world_.io);
}

Registries::~Registries() = default;

std::string Registries::File(int number, const char* ending) const {
  return world_.directory + "/registry-" + std::to_string(number) + ending;
}

void Registries::StartNode(int number) {
  Node& node = nodes_[static_cast<std::size_t>(number)];
  std::ofstream file(File(number, ".toml"));
  file << "listen = \"" << Text(node.door->address()) << "\"\nname = \"registry-" << number
       << "\"\nstore = \"" << File(number, ".db") << "\"\nlog = \"" << File(number, ".jsonl")
       << "\"\nfollow = " << (number > 0 ? "true" : "false")
       << "\nstale_s = " << static_cast<double>(world_.scenario.registry.stale_after) / 1e6 << "\nothers = [";
  for (int other = 0; other < static_cast<int>(nodes_.size()); ++other)
    if (other != number)
      file << "\""
           << Text(world_.links.Address(Links::FromRegistry(number), Links::Registry(other),
                                        nodes_[static_cast<std::size_t>(other)].door->address()))
           << "\", ";
  if (!(file << "]\n" << std::flush)) throw std::runtime_error(File(number, ".toml") + ": cannot be written");
  Child::Start start;
  start.arguments = {world_.program, "registry", "serve", "--config", File(number, ".toml")};
  Child::Events events;
  events.on_line = [this, number](const std::string& line) {
    world_.journal.Note("registry", "said", {{"registry", number}, {"line", line}});
  };
  events.on_end = [this, number](const std::string& how, bool cleanly) { OnNodeEnd(number, how, cleanly); };
  node.told_to_end = false;
  node.child = children_.Start(start, std::move(events));
  world_.journal.Note("registry", "started", {{"registry", number}, {"pid", node.child->pid()}});
}

void Registries::OnNodeEnd(int number, const std::string& how, bool cleanly) {
  const bool ordered = nodes_[static_cast<std::size_t>(number)].told_to_end;
  if (!ordered) ++world_.records.registries_crashed;
  world_.journal.Note("registry", ordered || cleanly ? "ended" : "crashed",
                      {{"registry", number}, {"how", how}});
}

void Registries::Ask(int number, const std::string& target,
                     const std::function<void(const std::string&)>& take) {
  HttpExchange::Call call;
  call.to = nodes_[static_cast<std::size_t>(number)].door->address();
  call.target = target;
  auto answer = std::make_shared<std::string>();
  HttpExchange::Events events;
  events.on_line = [answer](const std::string& line) { *answer = line; };
  events.on_end = [answer, take](int, const std::string&) { take(*answer); };
  HttpExchange::Start(world_.io, std::move(call), std::move(events));
}

void Registries::AwaitStatus(std::function<bool(const std::vector<nlohmann::json>&)> enough,
                             std::function<void()> done) {
  struct Round {
    std::vector<nlohmann::json> said;
    std::size_t left = 0;
    int tries = 0;
    asio::steady_timer timer;
    std::function<void()> ask;
    explicit Round(asio::io_context& io) : timer(io) {}
  };
  auto round = std::make_shared<Round>(world_.io);
  round->ask = [this, round, enough = std::move(enough), done = std::move(done)] {
    round->said.assign(nodes_.size(), nullptr);
    round->left = nodes_.size();
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      Ask(static_cast<int>(i), "/v1/status", [round, i, enough, done](const std::string& text) {
        round->said[i] = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
        if (--round->left > 0) return;
        if (enough(round->said)) {
          const auto go_on = done;
          round->ask = {};  // what it holds holds the round
          return go_on();
        }
        if (++round->tries > kMostTries) throw std::runtime_error("the registries do not come up");
        round->timer.expires_after(std::chrono::microseconds(kLookEvery));
        round->timer.async_wait([round](ErrorCode error) {
          if (!error) round->ask();
        });
      });
  };
  round->ask();
}

void Registries::Start(std::function<void()> on_ready) {
  for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
    world_.links.FollowFar(Links::Registry(i), Door::State::kOpen);
    StartNode(i);
  }
  AwaitStatus(
      [](const std::vector<nlohmann::json>& said) {
        return std::all_of(said.begin(), said.end(), [&](const nlohmann::json& one) {
          if (!one.is_object()) return false;
          return &one == &said.front() ? one.value("role", "") == "primary"
                                       : one.value("role", "") == "follower" && !one.at("path").empty();
        });
      },
      std::move(on_ready));
}

void Registries::AwaitListed(std::size_t servers, std::function<void()> on_ready) {
  const Micros stale = world_.scenario.registry.stale_after;
  AwaitStatus(
      [servers, stale](const std::vector<nlohmann::json>& said) {
        return std::all_of(said.begin(), said.end(), [&](const nlohmann::json& one) {
          return static_cast<std::size_t>(Number(one, "up")) == servers &&
                 one.value("stale_ms", std::int64_t{0}) * 1000 < stale;
        });
      },
      std::move(on_ready));
}

void Registries::Begun(const Entry& entry) {
  const ServerPlan& server = world_.plan.servers[static_cast<std::size_t>(entry.server)];
  const MachineSpec& machine = world_.scenario.machines[static_cast<std::size_t>(server.machine)];
  registry::Entry told;
  told.id = entry.id;
  told.address = world_.address(entry.server);
  told.zone = world_.scenario.fleet.zones[static_cast<std::size_t>(server.zone)];
  told.machine = machine.name;
  told.cell = server.cell;
  told.weight = machine.server.cores * machine.server.speed / 4;
  told.started_ms = entry.started_ms;
  told.holder = "server-" + std::to_string(entry.server);
  std::vector<Tcp::endpoint> registries;
  registries.reserve(nodes_.size());
  for (int i = 0; i < static_cast<int>(nodes_.size()); ++i)
    registries.push_back(world_.links.Address(Links::FromServer(entry.server), Links::Registry(i),
                                              nodes_[static_cast<std::size_t>(i)].door->address()));
  registry::LeaseCore::Settings settings;
  settings.term = world_.scenario.registry.term;
  settings.drain = 0;  // the timeline drains, and says when it ends
  settings.leave = 60'000'000;
  registry::LeaseHolder::Events events;
  events.on_event = [this, id = entry.id](const std::string& what) {
    world_.journal.Note("lease", "said", {{"server", id}, {"line", what}});
  };
  events.on_end = [this, id = entry.id](int) { asio::post(world_.io, [this, id] { leases_.erase(id); }); };
  auto& lease = leases_[entry.id];
  lease.reset();  // the one of the process before
  lease =
      std::make_unique<registry::LeaseHolder>(world_.io, std::move(registries), std::move(told), settings,
                                              Hash(world_.plan.seed, "lease " + entry.id), std::move(events));
  lease->Start();
}

void Registries::Drains(const Entry& entry, bool drains) {
  const auto it = leases_.find(entry.id);
  using Wanted = registry::LeaseCore::Wanted;
  if (it != leases_.end()) it->second->Want(drains ? Wanted::kDraining : Wanted::kUp);
}

void Registries::Leaves(const Entry& entry) {
  const auto it = leases_.find(entry.id);
  if (it != leases_.end()) it->second->Want(registry::LeaseCore::Wanted::kGone);
}

void Registries::Lost(const Entry& entry) { leases_.erase(entry.id); }

void Registries::Kill(int number) {
  Node& node = nodes_[static_cast<std::size_t>(number)];
  node.told_to_end = true;
  node.child->Signal(SIGKILL);
}

void Registries::Apply(int fault, bool begin, const std::function<void()>& done) {
  const Fault& spec = world_.scenario.faults[static_cast<std::size_t>(fault)];
  for (const int number : world_.plan.faults[static_cast<std::size_t>(fault)].on) {
    Node& node = nodes_[static_cast<std::size_t>(number)];
    switch (spec.act) {
      case Act::kKill:
        begin ? Kill(number) : StartNode(number);
        break;
      case Act::kTerminate:
        node.told_to_end = true;
        begin ? node.child->Signal(SIGTERM) : StartNode(number);
        break;
      case Act::kFreeze:
        node.child->Signal(begin ? SIGSTOP : SIGCONT);
        break;
      case Act::kPromote: {
        HttpExchange::Call call;
        call.to = node.door->address();
        call.method = "POST";
        call.target = "/v1/promote";
        call.body = nlohmann::json({{"epoch", static_cast<int>(spec.value)}, {"force", true}}).dump();
        HttpExchange::Events events;
        events.on_line = [this, number](const std::string& line) {
          world_.journal.Note("registry", "promote", {{"registry", number}, {"answer", line}});
        };
        HttpExchange::Start(world_.io, std::move(call), std::move(events));
        break;
      }
      default:
        break;
    }
  }
  if (spec.act == Act::kPromote) done();
}

std::vector<Tcp::endpoint> Registries::AddressesOf(int sidecar) {
  std::vector<Tcp::endpoint> out;
  const auto count = static_cast<int>(nodes_.size());
  for (int i = 0; i < count; ++i) {
    const int number = (sidecar + i) % count;
    out.push_back(world_.links.Address(sidecar, Links::Registry(number),
                                       nodes_[static_cast<std::size_t>(number)].door->address()));
    StreamLink::Tap tap;
    tap.on_open = [this] { ++world_.records.discovery_calls; };
    tap.on_line = [this, sidecar](const std::string& line) { OnLine(sidecar, line); };
    world_.links.SetTap(sidecar, Links::Registry(number), std::move(tap));
  }
  return out;
}

// A watch's lines are lists; headers and the sizes of chunks between them are none.
void Registries::OnLine(int sidecar, const std::string& line) {
  if (line.empty() || line.front() != '{') return;
  const auto list = nlohmann::json::parse(line, nullptr, /*allow_exceptions=*/false);
  if (!list.is_object() || !list.contains("instances")) return;
  auto& view = views_[static_cast<std::size_t>(sidecar)];
  const Micros now = world_.clock.Now();
  std::set<std::string> listed;
  for (const auto& one : list.at("instances")) {
    const auto id = one.at("instanceId").get<std::string>();
    const auto lifecycle = one.at("lifecycle").get<std::string>();
    listed.insert(id);
    world_.records.told.push_back({sidecar, id, Parse(lifecycle), now});
    if (lifecycle == "removed") {
      view.erase(id);
    } else {
      view[id] = lifecycle;
    }
  }
  if (!list.at("reset").get<bool>() || listed.empty()) return;
  for (auto it = view.begin(); it != view.end();) {
    if (listed.count(it->first) > 0) {
      ++it;
      continue;
    }
    world_.records.told.push_back({sidecar, it->first, Lifecycle::kRemoved, now});
    it = view.erase(it);
  }
}

void Registries::Compare(const Lists& lists) {
  Records::Views views;
  std::map<std::string, std::string> truth;
  views.equal = true;
  for (const Told& one : lists) {
    if (one.status.value("role", "") == "primary") ++views.writing;
    views.equal = views.equal && one.known && one.list == lists.front().list;
  }
  if (lists.front().known)
    for (const auto& entry : lists.front().list.at("instances"))
      truth[entry.at("instanceId").get<std::string>()] = entry.at("lifecycle").get<std::string>();
  for (const auto& view : views_) {
    for (const auto& [id, lifecycle] : truth) {
      const auto it = view.find(id);
      views.wrong += it == view.end() || it->second != lifecycle ? 1 : 0;
    }
    for (const auto& [id, lifecycle] : view) views.wrong += truth.count(id) == 0 ? 1 : 0;
  }
  world_.records.views = views;
}

void Registries::Finish(std::function<void()> on_end) {
  auto lists = std::make_shared<Lists>(nodes_.size());
  auto left = std::make_shared<std::size_t>(2 * nodes_.size());
  const auto done = [this, lists, left, on_end = std::move(on_end)] {
    if (--*left > 0) return;
    Compare(*lists);
    for (Node& node : nodes_) {
      node.told_to_end = true;
      node.child->Signal(SIGCONT);
      node.child->Signal(SIGTERM);
    }
    leases_.clear();
    AwaitEnds(on_end, 0);
  };
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Ask(static_cast<int>(i), "/v1/endpoints", [lists, i, done](const std::string& text) {
      Told& told = (*lists)[i];
      told.list = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
      told.known = told.list.is_object() && told.list.contains("instances");
      done();
    });
    Ask(static_cast<int>(i), "/v1/status", [lists, i, done](const std::string& text) {
      auto status = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
      (*lists)[i].status = status.is_object() ? std::move(status) : nlohmann::json::object();
      done();
    });
  }
}

void Registries::AwaitEnds(const std::function<void()>& on_end, int looks) {
  const bool any =
      std::any_of(nodes_.begin(), nodes_.end(), [](const Node& n) { return n.child->running(); });
  if (!any) return on_end();
  if (looks == kMostLooks) {
    ++world_.records.registries_crashed;  // it did not end when it was told to
    for (const Node& node : nodes_) node.child->Signal(SIGKILL);
  }
  auto timer = std::make_shared<asio::steady_timer>(world_.io, std::chrono::microseconds(kLookEvery));
  timer->async_wait([this, timer, on_end, looks](ErrorCode error) {
    if (!error) AwaitEnds(on_end, looks + 1);
  });
}

}  // namespace violetwing::lab
