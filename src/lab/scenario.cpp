#include "lab/scenario.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace violetwing::lab {
namespace {

[[noreturn]] void Fail(const std::string& file, const toml::source_region& where, const std::string& key,
                       const std::string& what) {
  throw ScenarioError(file + ":" + std::to_string(where.begin.line) + ": " + key + ": " + what);
}

std::string Plain(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

// The keys of one table, each taken once; what is left at the end is unknown.
class Table {
 public:
  Table(const std::string& file, std::string path, const toml::table* table, toml::source_region fallback)
      : file_(file), path_(std::move(path)), table_(table), where_(std::move(fallback)) {
    if (table_ != nullptr && table_->source().begin.line > 0) where_ = table_->source();
  }

  bool Has(const char* key) const { return table_ != nullptr && table_->contains(key); }

  double Number(const char* key, double otherwise, double least, double most) {
    const toml::node* const node = Take(key);
    if (node == nullptr) return otherwise;
    const auto value = node->value<double>();
    if (!value || node->is_boolean() || !std::isfinite(*value)) Bad(key, "not a number");
    if (*value < least || *value > most)
      Bad(key, Plain(*value) + " is not from " + Plain(least) + " to " + Plain(most));
    return *value;
  }
  int Whole(const char* key, int otherwise, int least, int most) {
    const toml::node* const node = Find(key);
    if (node != nullptr && !node->is_integer()) Bad(key, "not a whole number");
    return static_cast<int>(Number(key, otherwise, least, most));
  }
  Micros Seconds(const char* key, Micros otherwise, double most = 3600) {
    return static_cast<Micros>(
        std::llround(Number(key, static_cast<double>(otherwise) / 1e6, 0, most) * 1e6));
  }
  Micros Millis(const char* key, Micros otherwise) {
    return static_cast<Micros>(
        std::llround(Number(key, static_cast<double>(otherwise) / 1e3, 0, 3.6e6) * 1e3));
  }
  bool Flag(const char* key, bool otherwise) {
    const toml::node* const node = Take(key);
    if (node == nullptr) return otherwise;
    if (!node->is_boolean()) Bad(key, "not true or false");
    return *node->value<bool>();
  }
  std::string Text(const char* key, const std::string& otherwise) {
    const toml::node* const node = Take(key);
    if (node == nullptr) return otherwise;
    if (!node->is_string()) Bad(key, "not a text");
    return *node->value<std::string>();
  }
  std::string Name(const char* key) {
    std::string name = Text(key, "");
    const bool plain = std::all_of(name.begin(), name.end(), [](unsigned char c) {
      return std::isalnum(c) != 0 || c == '-' || c == '_';
    });
    if (name.empty() || !plain) Bad(key, "needed, of letters, digits, '-' and '_'");
    return name;
  }
  template <typename T>
  T OneOf(const char* key, const std::string& otherwise, const std::map<std::string, T>& known) {
    const std::string text = Text(key, otherwise);
    const auto it = known.find(text);
    if (it != known.end()) return it->second;
    std::string all;
    for (const auto& [name, value] : known) all += (all.empty() ? "" : ", ") + name;
    Bad(key, "'" + text + "' is none of " + all);
  }
  std::vector<std::string> Names(const char* key, std::vector<std::string> otherwise) {
    const toml::node* const node = Take(key);
    if (node == nullptr) return otherwise;
    std::vector<std::string> out;
    if (const toml::array* const array = node->as_array())
      for (const toml::node& item : *array) {
        const auto text = item.value<std::string>();
        if (!text || text->empty()) Bad(key, "not a list of names");
        if (text->find_first_of(" ,.") != std::string::npos)
          Bad(key, "'" + *text + "' holds a blank, ',' or '.'");
        out.push_back(*text);
      }
    if (out.empty()) Bad(key, "not a list of names");
    return out;
  }
  std::vector<double> Numbers(const char* key) {
    const toml::node* const node = Take(key);
    std::vector<double> out;
    if (node == nullptr) return out;
    const toml::array* const array = node->as_array();
    if (array == nullptr) Bad(key, "not a list of numbers");
    for (const toml::node& item : *array) {
      const auto value = item.value<double>();
      if (!value || !std::isfinite(*value) || *value < 0) Bad(key, "not a list of numbers from 0");
      out.push_back(*value);
    }
    return out;
  }
  Table Inner(const char* key) {
    const toml::node* const node = Take(key);
    if (node != nullptr && !node->is_table()) Bad(key, "not a table");
    return {file_, path_.empty() ? key : path_ + "." + key, node == nullptr ? nullptr : node->as_table(),
            where_};
  }
  std::vector<Table> Tables(const char* key) {
    std::vector<Table> out;
    const toml::node* const node = Take(key);
    if (node == nullptr) return out;
    const toml::array* const array = node->as_array();
    if (array == nullptr) Bad(key, "not a list of tables: write [[" + std::string(key) + "]]");
    for (const toml::node& item : *array) {
      if (!item.is_table()) Bad(key, "not a list of tables: write [[" + std::string(key) + "]]");
      out.emplace_back(file_, key, item.as_table(), where_);
    }
    return out;
  }
  void End() const {
    if (table_ == nullptr) return;
    for (const auto& [key, node] : *table_)
      if (taken_.count(std::string(key.str())) == 0)
        Fail(file_, node.source(), Path(std::string(key.str()).c_str()), "unknown key");
  }
  [[noreturn]] void Bad(const char* key, const std::string& what) const {
    const toml::node* const node = table_ == nullptr ? nullptr : table_->get(key);
    Fail(file_, node == nullptr ? where_ : node->source(), Path(key), what);
  }
  std::string Where() const { return file_ + ":" + std::to_string(where_.begin.line); }

 private:
  const toml::node* Find(const char* key) const { return table_ == nullptr ? nullptr : table_->get(key); }
  const toml::node* Take(const char* key) {
    taken_.insert(key);
    return Find(key);
  }
  std::string Path(const char* key) const { return path_.empty() ? key : path_ + "." + key; }

  std::string file_;
  std::string path_;
  const toml::table* table_;
  toml::source_region where_;
  std::set<std::string> taken_;
};

ClassSpec ReadClass(Table& in) {
  ClassSpec out;
  out.name = in.Name("name");
  out.share = in.Number("share", 1, 0, 1e6);
  out.work_us = static_cast<double>(in.Millis("work_ms", 60'000));
  if (out.work_us <= 0) in.Bad("work_ms", "no work at all");
  out.cv = in.Number("cv", 1, 0, 10);
  out.attempt_noise = in.Number("attempt_noise", 0.2, 0, 2);
  out.aim = in.Millis("aim_ms", 1'000'000);
  out.deadline = in.Millis("deadline_ms", 5'000'000);
  if (out.aim <= 0 || out.deadline < out.aim) in.Bad("deadline_ms", "under the aim, or the aim is 0");
  out.worth = in.Number("worth", 1, 0, 1e6);
  out.late_value = in.Number("late_value", 0.5, 0, 1);
  out.effect = in.OneOf<Effect>(
      "effect", "unsafe", {{"safe", Effect::kSafe}, {"keyed", Effect::kKeyed}, {"unsafe", Effect::kUnsafe}});
  out.group = in.OneOf<KeyGroup>(
      "group", "all", {{"all", KeyGroup::kAll}, {"zone", KeyGroup::kZone}, {"cell", KeyGroup::kCell}});
  out.window = in.Millis("window_ms", 0);
  in.End();
  return out;
}

// BRIEF's two classes, at the middle of their ranges.
std::vector<ClassSpec> UsualClasses() {
  ClassSpec save;
  save.name = "save-position";
  save.share = 0.72;
  save.work_us = 55'000;
  save.aim = 600'000;
  save.deadline = 1'200'000;
  save.worth = 8;
  save.late_value = 0.3;
  save.effect = Effect::kKeyed;
  save.group = KeyGroup::kCell;
  save.window = 2'500'000;
  ClassSpec publish;
  publish.name = "publish-episode";
  publish.share = 0.28;
  publish.work_us = 80'000;
  publish.worth = 10;
  return {save, publish};
}

MachineSpec ReadMachine(Table& in) {
  MachineSpec out;
  ServerSpec& server = out.server;
  out.name = in.Name("name");
  out.share = in.Number("share", 1, 0, 1e6);
  server.cores = in.Whole("cores", server.cores, 1, 1024);
  server.speed = in.Number("speed", server.speed, 1e-3, 1e3);
  server.slots_per_core = in.Whole("slots_per_core", server.slots_per_core, 1, 1000);
  server.queue_per_core = in.Number("queue_per_core", server.queue_per_core, 0, 1e6);
  server.cold_from = in.Number("cold_from", server.cold_from, 0.001, 1);
  server.cold = in.Seconds("cold_s", server.cold);
  server.connections = in.Whole("connections", server.connections, 1, 1'000'000);
  server.handshake_us = static_cast<double>(in.Millis("handshake_ms", 15'000));
  server.full_tax = in.Number("full_tax", server.full_tax, 0, 0.99);
  server.error_rate = in.Number("error_rate", 0, 0, 1);
  server.drops_expired = in.Flag("drops_expired", server.drops_expired);
  server.fall_multiple = in.Number("fall_multiple", server.fall_multiple, 0.1, 1e3);
  server.fall = in.Seconds("fall_s", server.fall);
  server.choke.at = in.Number("choke_at", 5.5, 0, 1e6);
  server.choke.over = in.Seconds("choke_over_s", 2'000'000);
  server.choke.slower = in.Number("choke_slower", 2.8, 1, 1e3);
  server.choke.below = in.Number("choke_below", 0.33, 0, 100);
  server.choke.rest = in.Seconds("choke_rest_s", 3'500'000);
  server.choke.most = in.Seconds("choke_most_s", 25'000'000);
  in.End();
  return out;
}

std::vector<MachineSpec> UsualMachines() {
  const std::string file = "built-in";
  const toml::table text = toml::parse(
      "[[machine]]\nname='ny-4'\nshare=0.53\nspeed=0.97\nqueue_per_core=20\n"
      "[[machine]]\nname='gammel-4'\nshare=0.47\nspeed=0.6\n");
  Table top(file, "", &text, {});
  std::vector<MachineSpec> out;
  for (Table& each : top.Tables("machine")) out.push_back(ReadMachine(each));
  return out;
}

struct ActSpec {
  Act act;
  Party party;
  bool valued;  // needs `value`
  double least;
  double most;
  bool once;  // does not last, so that `for_s` makes no sense
};

const std::map<std::string, ActSpec>& Acts() {
  static const std::map<std::string, ActSpec> kActs = {
      {"crash", {Act::kCrash, Party::kServer, false, 0, 0, false}},
      {"vanish", {Act::kVanish, Party::kServer, false, 0, 0, false}},
      {"drain", {Act::kDrain, Party::kServer, false, 0, 0, false}},
      {"remove", {Act::kRemove, Party::kServer, false, 0, 0, true}},
      {"slow", {Act::kSlow, Party::kServer, true, 1, 1000, false}},
      {"errors", {Act::kErrors, Party::kServer, true, 0, 1, false}},
      {"roll", {Act::kRoll, Party::kServer, true, 0.01, 1, true}},
      {"kill", {Act::kKill, Party::kSidecar, false, 0, 0, false}},
      {"terminate", {Act::kTerminate, Party::kSidecar, false, 0, 0, false}},
      {"freeze", {Act::kFreeze, Party::kSidecar, false, 0, 0, false}},
      {"upgrade", {Act::kUpgrade, Party::kSidecar, false, 0, 0, true}},
      {"descriptors", {Act::kDescriptors, Party::kSidecar, true, 1, 1e6, false}},
      {"strangers", {Act::kStrangers, Party::kSidecar, true, 1, 10'000, false}},
      {"drain-zone", {Act::kDrainZone, Party::kSidecar, true, 0, 86'400, true}},
      {"return-zone", {Act::kReturnZone, Party::kSidecar, true, 0, 86'400, true}},
      {"down", {Act::kDown, Party::kDiscovery, false, 0, 0, false}},
      {"overbooked", {Act::kOverbooked, Party::kDiscovery, false, 0, 0, false}},
      {"stale", {Act::kStale, Party::kDiscovery, false, 0, 0, false}},
      {"late", {Act::kLate, Party::kDiscovery, true, 0, 600, false}},
      {"lower", {Act::kLower, Party::kDiscovery, false, 0, 0, true}},
      {"move", {Act::kMove, Party::kDiscovery, false, 0, 0, true}},
      {"promote", {Act::kPromote, Party::kRegistry, true, 1, 8191, true}},
      {"delay", {Act::kDelay, Party::kLink, true, 0, 60'000, false}},
      {"cut", {Act::kCut, Party::kLink, false, 0, 0, false}},
      {"half-open", {Act::kHalfOpen, Party::kLink, false, 0, 0, false}},
      {"reset", {Act::kReset, Party::kLink, false, 0, 0, true}},
      {"rate", {Act::kRate, Party::kLink, true, 0.001, 1e9, false}},
      {"loss", {Act::kLoss, Party::kLink, true, 0, 1, false}},
      {"reorder", {Act::kReorder, Party::kLink, true, 0, 1, false}}};
  return kActs;
}

// "server zone=odense", "sidecar 0,2", "server share=0.3", "sidecar", "discovery".
Selector ReadSelector(Table& in, const char* key, const Scenario& scenario) {
  Selector out;
  out.text = in.Text(key, "");
  std::istringstream words(out.text);
  std::string party;
  std::string which;
  std::string more;
  words >> party >> which >> more;
  const std::map<std::string, Party> parties = {{"server", Party::kServer},
                                                {"sidecar", Party::kSidecar},
                                                {"client", Party::kClient},
                                                {"discovery", Party::kDiscovery},
                                                {"registry", Party::kRegistry}};
  const auto it = parties.find(party);
  if (it == parties.end() || !more.empty())
    in.Bad(key,
           "'" + out.text +
               "': say server, sidecar, client, registry or discovery, and then numbers, zone=Z or share=F");
  out.party = it->second;
  out.all = which.empty();
  if (out.all) return out;
  if (out.party == Party::kDiscovery) in.Bad(key, "there is one discovery");
  const bool numbered = which.find('=') == std::string::npos;
  if (out.party == Party::kRegistry && !numbered) in.Bad(key, "registries are named by number");
  if (which.rfind("zone=", 0) == 0) {
    out.zone = which.substr(5);
    const auto& zones = scenario.fleet.zones;
    if (std::find(zones.begin(), zones.end(), out.zone) == zones.end())
      in.Bad(key, "no zone '" + out.zone + "' in fleet.zones");
    return out;
  }
  const bool share = which.rfind("share=", 0) == 0;
  std::istringstream list(share ? which.substr(6) : which);
  for (std::string item; std::getline(list, item, ',');) {
    char* end = nullptr;
    const double value = std::strtod(item.c_str(), &end);
    if (item.empty() || *end != '\0') in.Bad(key, "'" + item + "' is no number");
    if (share) {
      if (!(value > 0 && value <= 1)) in.Bad(key, "a share is over 0 and at most 1");
      out.share = value;
      continue;
    }
    const int count = out.party == Party::kServer     ? scenario.fleet.servers
                      : out.party == Party::kRegistry ? scenario.registry.count
                                                      : scenario.fleet.sidecars;
    if (value < 0 || value >= count || value != std::floor(value))
      in.Bad(key, "'" + item + "' is none of the " + std::to_string(count) + ", counted from 0");
    out.numbers.push_back(static_cast<int>(value));
  }
  if (!share && out.numbers.empty()) in.Bad(key, "names nobody");
  return out;
}

void ReadTime(Table& in, Fault& out, const Scenario& scenario) {
  if (in.Has("at_s")) {
    if (in.Has("when")) in.Bad("when", "at_s is given too");
    out.at = in.Seconds("at_s", 0);
    if (*out.at >= scenario.length) in.Bad("at_s", "after the end of the run");
    return;
  }
  if (in.Has("at_request")) {
    if (in.Has("when")) in.Bad("when", "at_request is given too");
    out.at_request = in.Whole("at_request", 0, 0, 1'000'000'000);
    return;
  }
  if (!in.Has("when")) in.Bad("at_s", "needed, or at_request, or when");
  const std::string when = in.Text("when", "");
  out.wait = in.Seconds("after_s", 0);
  if (when == "all sidecars ready") return;
  for (const auto& [prefix, end] : {std::pair{std::string("begun "), false}, {std::string("ended "), true}}) {
    if (when.rfind(prefix, 0) != 0) continue;
    out.after = when.substr(prefix.size());
    out.after_end = end;
    const auto named = [&](const Fault& fault) { return fault.name == out.after; };
    const auto before = std::find_if(scenario.faults.begin(), scenario.faults.end(), named);
    if (before == scenario.faults.end()) in.Bad("when", "no fault '" + out.after + "' above this one");
    if (end && !before->lasts && !Acts().at(before->act_text).once)
      in.Bad("when", "'" + out.after + "' never ends");
    return;
  }
  in.Bad("when", "'" + when + "': say 'all sidecars ready', 'begun NAME' or 'ended NAME'");
}

void CheckLink(Table& in, const Fault& link, const Scenario& scenario) {
  const Party from = link.on.party;
  const Party to = link.to.party;
  if (from == Party::kClient) {
    if (to != Party::kSidecar || !link.to.all) in.Bad("to", "a client's link leads to its sidecar");
  } else if (from == Party::kSidecar) {
    if (to != Party::kServer && to != Party::kDiscovery && to != Party::kRegistry)
      in.Bad("to", "a sidecar's links lead to servers, discovery or registries");
    if (to != Party::kRegistry && scenario.registry.count > 0)
      in.Bad("to", "with [registry] a sidecar's links lead to registries");
  } else if (from == Party::kServer || from == Party::kRegistry) {
    if (to != Party::kRegistry) in.Bad("to", "links of servers and registries lead to registries");
  } else {
    in.Bad("from", "links begin at sidecars, clients, servers or registries");
  }
}

// What may be done to a sidecar's process may be done to a registry's too.
bool MayBeFor(const ActSpec& act, Party party) {
  const bool process = act.act == Act::kKill || act.act == Act::kTerminate || act.act == Act::kFreeze;
  return party == act.party || (party == Party::kRegistry && process);
}

Fault ReadFault(Table& in, const Scenario& scenario) {
  Fault out;
  out.name = in.Name("name");
  for (const Fault& other : scenario.faults)
    if (other.name == out.name) in.Bad("name", "'" + out.name + "' is taken");
  out.act_text = in.Text("do", "");
  const auto it = Acts().find(out.act_text);
  if (it == Acts().end()) {
    std::string all;
    for (const auto& [name, spec] : Acts()) all += (all.empty() ? "" : ", ") + name;
    in.Bad("do", "'" + out.act_text + "' is none of " + all);
  }
  const ActSpec& act = it->second;
  out.act = act.act;
  if (act.party == Party::kLink) {
    out.on = ReadSelector(in, "from", scenario);
    out.to = ReadSelector(in, "to", scenario);
    CheckLink(in, out, scenario);
    if (out.act == Act::kLoss || out.act == Act::kReorder)
      in.Bad("do", "for datagrams, and these links are TCP");
    out.direction = in.OneOf<Direction>(
        "direction", "both",
        {{"both", Direction::kBoth}, {"there", Direction::kThere}, {"back", Direction::kBack}});
  } else {
    out.on = ReadSelector(in, "on", scenario);
    if (!MayBeFor(act, out.on.party)) in.Bad("on", "'" + out.act_text + "' is for another party");
  }
  for (const Selector* const one : {&out.on, &out.to})
    if (one->party == Party::kRegistry && !one->text.empty() && scenario.registry.count == 0)
      in.Bad(one == &out.to              ? "to"
             : act.party == Party::kLink ? "from"
                                         : "on",
             "no [registry] in this scenario");
  if (act.valued && !in.Has("value")) in.Bad("value", "needed by '" + out.act_text + "'");
  if (act.valued) out.value = in.Number("value", 0, act.least, act.most);
  if (out.act == Act::kDrainZone || out.act == Act::kReturnZone) {
    out.zone = in.Name("zone");
    const auto& zones = scenario.fleet.zones;
    if (std::find(zones.begin(), zones.end(), out.zone) == zones.end())
      in.Bad("zone", "no zone '" + out.zone + "' in fleet.zones");
  }
  if (out.act == Act::kUpgrade && !scenario.fleet.passed_socket)
    in.Bad("do", "an upgrade needs fleet.passed_socket = true");
  if (out.act == Act::kDelay) out.jitter = in.Millis("jitter_ms", 0);
  if (out.act == Act::kRemove || out.act == Act::kRoll) out.drain = in.Seconds("drain_s", 4'000'000);
  if (out.act == Act::kRoll) out.down = in.Seconds("down_s", 500'000);
  if (in.Has("for_s")) {
    if (act.once) in.Bad("for_s", "'" + out.act_text + "' does not last");
    out.lasts = in.Seconds("for_s", 0);
  }
  ReadTime(in, out, scenario);
  in.End();
  return out;
}

void ReadFleet(Table in, Fleet& out) {
  out.sidecars = in.Whole("sidecars", out.sidecars, 1, 1000);
  out.servers = in.Whole("servers", out.servers, 1, 10'000);
  out.cells = in.Whole("cells", std::max(1, out.servers / 8), 1, out.servers);
  out.zones = in.Names("zones", {"aarhus", "odense", "ballerup"});
  if (std::set<std::string>(out.zones.begin(), out.zones.end()).size() != out.zones.size())
    in.Bad("zones", "a zone twice");
  out.memory_mb = in.Whole("memory_mb", out.memory_mb, 16, 1'000'000);
  out.sockets = in.Whole("sockets", out.sockets, 64, 1'000'000);
  out.passed_socket = in.Flag("passed_socket", false);
  out.ready_within = in.Seconds("ready_within_s", out.ready_within);
  in.End();
}

void ReadLoad(Table in, Load& out, const Fleet& fleet) {
  if (in.Has("requests_per_s") && in.Has("share")) in.Bad("share", "requests_per_s is given too");
  out.requests_per_s = in.Number("requests_per_s", 0, 0, 1e6);
  out.share = in.Number("share", out.share, 0.001, 10);
  out.swing = in.Number("swing", 0, 0, 0.99);
  out.sidecar_shares = in.Numbers("sidecar_shares");
  const auto& shares = out.sidecar_shares;
  if (!shares.empty() && shares.size() != static_cast<std::size_t>(fleet.sidecars))
    in.Bad("sidecar_shares", "one for each sidecar is needed");
  double sum = 0;
  for (const double share : shares) sum += share;
  if (!shares.empty() && !(sum > 0)) in.Bad("sidecar_shares", "all are 0");
  in.End();
}

void ReadClients(Table in, ClientSpec& out) {
  out.tries = in.Whole("tries", out.tries, 1, 100);
  out.try_share = in.Number("try_share", out.try_share, 0.01, 1);
  out.backoff = in.Millis("backoff_ms", out.backoff);
  out.honour = in.Number("honour", out.honour, 0, 1);
  out.impatient = in.Number("impatient", out.impatient, 0, 1);
  out.hang_up = in.Number("hang_up", out.hang_up, 0, 1);
  in.End();
}

void ReadRegistry(Table& top, Scenario& out) {
  if (!top.Has("registry")) return;
  Table in = top.Inner("registry");
  out.registry.count = in.Whole("count", 3, 1, 20);
  out.registry.term = in.Seconds("term_s", out.registry.term);
  if (out.registry.term < 100'000) in.Bad("term_s", "under 0.1 s");
  out.registry.stale_after = in.Seconds("stale_s", out.registry.stale_after);
  in.End();
  // A registry tells all sidecars one address of a server, so there is no room for links between them.
  if (out.network.same > 0 || out.network.cross > 0) top.Bad("network", "not with [registry]");
}

Claim ReadClaim(Table& in) {
  Claim out;
  out.where = in.Where();
  out.figure = in.Text("figure", "");
  if (out.figure.empty()) in.Bad("figure", "needed");
  if (in.Has("at_least")) out.at_least = in.Number("at_least", 0, -1e18, 1e18);
  if (in.Has("at_most")) out.at_most = in.Number("at_most", 0, -1e18, 1e18);
  if (in.Has("is")) {
    if (out.at_least || out.at_most) in.Bad("is", "a bound is given too");
    out.at_least = out.at_most = in.Number("is", 0, -1e18, 1e18);
  }
  if (!out.at_least && !out.at_most) in.Bad("at_least", "needed, or at_most, or is");
  in.End();
  return out;
}

double MeanWork(const std::vector<ClassSpec>& classes) {
  double work = 0;
  double share = 0;
  for (const ClassSpec& kind : classes) {
    work += kind.share * kind.work_us;
    share += kind.share;
  }
  return work / share;
}

template <typename T>
void NamesDiffer(Table& top, const char* key, const std::vector<T>& items) {
  std::set<std::string> names;
  double sum = 0;
  for (const T& item : items) {
    sum += item.share;
    if (!names.insert(item.name).second) top.Bad(key, "the name '" + item.name + "' stands twice");
  }
  if (!(sum > 0)) top.Bad(key, "no share is over 0");
}

}  // namespace

Scenario ParseScenario(const std::string& text, const std::string& name) {
  toml::table table;
  try {
    table = toml::parse(text);
  } catch (const toml::parse_error& error) {
    throw ScenarioError(name + ":" + std::to_string(error.source().begin.line) +
                        ": TOML: " + std::string(error.description()));
  }
  Table top(name, "", &table, {{1, 1}, {1, 1}, nullptr});
  Scenario out;
  out.name = top.Name("name");
  out.description = top.Text("description", "");
  out.length = top.Seconds("length_s", out.length);
  if (out.length < 1'000'000) top.Bad("length_s", "under one second");
  out.drain_grace = top.Millis("drain_grace_ms", out.drain_grace);
  out.max_attempts = top.Whole("max_attempts", out.max_attempts, 1, 100);
  ReadFleet(top.Inner("fleet"), out.fleet);
  ReadLoad(top.Inner("load"), out.load, out.fleet);
  ReadClients(top.Inner("clients"), out.clients);
  Table network = top.Inner("network");
  out.network.same = network.Millis("same_ms", 0);
  out.network.cross = network.Millis("cross_ms", 0);
  network.End();
  Table discovery = top.Inner("discovery");
  out.discovery.up = discovery.Flag("up", true);
  out.discovery.notice = discovery.Seconds("notice_s", out.discovery.notice);
  out.discovery.silent_notice = discovery.Seconds("silent_notice_s", out.discovery.silent_notice);
  out.discovery.watchers = discovery.Whole("watchers", out.discovery.watchers, 0, 1'000'000);
  discovery.End();
  ReadRegistry(top, out);
  for (Table& each : top.Tables("class")) out.classes.push_back(ReadClass(each));
  if (out.classes.empty()) out.classes = UsualClasses();
  NamesDiffer(top, "class", out.classes);
  for (Table& each : top.Tables("machine")) out.machines.push_back(ReadMachine(each));
  if (out.machines.empty()) out.machines = UsualMachines();
  NamesDiffer(top, "machine", out.machines);
  for (MachineSpec& machine : out.machines) machine.server.mean_work_us = MeanWork(out.classes);
  for (Table& each : top.Tables("fault")) out.faults.push_back(ReadFault(each, out));
  for (Table& each : top.Tables("claim")) out.claims.push_back(ReadClaim(each));
  top.End();
  return out;
}

Scenario LoadScenario(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) throw ScenarioError(file + ": cannot be read");
  return ParseScenario(text.str(), file);
}

}  // namespace violetwing::lab
