#include "registry/json.hpp"

#include <algorithm>
#include <cmath>
#include <initializer_list>

namespace violetwing::registry {
namespace {

using Json = nlohmann::json;

void Only(const Json& json, std::initializer_list<const char*> known) {
  if (!json.is_object()) throw JsonError("an object is needed");
  for (const auto& [key, value] : json.items())
    if (std::none_of(known.begin(), known.end(), [&name = key](const char* each) { return name == each; }))
      throw JsonError("unknown member '" + key.substr(0, 40) + "'");
}

template <typename T>
T Get(const Json& json, const char* key, T otherwise) {
  const auto it = json.find(key);
  if (it == json.end() || it->is_null()) return otherwise;
  try {
    // A number for a number and a text for a text; the library would turn true into 1.
    if (it->is_boolean()) throw JsonError(std::string(key) + ": of the wrong type");
    return it->get<T>();
  } catch (const Json::exception&) {
    throw JsonError(std::string(key) + ": of the wrong type");
  }
}

std::int64_t Whole(const Json& json, const char* key) {
  const auto it = json.find(key);
  if (it != json.end() && !it->is_number_integer())
    throw JsonError(std::string(key) + ": not a whole number");
  return Get<std::int64_t>(json, key, 0);
}

Lifecycle ParseLifecycle(const std::string& text) {
  if (text == "up") return Lifecycle::kUp;
  if (text == "draining") return Lifecycle::kDraining;
  throw JsonError("lifecycle: neither 'up' nor 'draining'");
}

Entry ParseEntry(const Json& json) {
  Only(json, {"instanceId", "hostPort", "zone", "region", "machineType", "version", "cell", "lifecycle",
              "weight", "startedAtMs", "holder", "term_s"});
  Entry out;
  out.id = Get<std::string>(json, "instanceId", "");
  out.address = Get<std::string>(json, "hostPort", "");
  out.zone = Get<std::string>(json, "zone", "");
  out.region = Get<std::string>(json, "region", "");
  out.machine = Get<std::string>(json, "machineType", "");
  out.version = Get<std::string>(json, "version", "");
  out.cell = Whole(json, "cell");
  out.lifecycle = ParseLifecycle(Get<std::string>(json, "lifecycle", "up"));
  out.weight = Get<double>(json, "weight", 1.0);
  out.started_ms = Whole(json, "startedAtMs");
  out.holder = Get<std::string>(json, "holder", "");
  const double term = Get<double>(json, "term_s", 0.0);
  if (!(term >= 0 && term <= 1e6)) throw JsonError("term_s: out of range");
  out.term = static_cast<Micros>(std::llround(term * 1e6));
  return out;
}

Operation ParseOperation(const Json& json) {
  Only(json, {"do", "entry", "id", "holder", "if_version"});
  Operation out;
  const auto what = Get<std::string>(json, "do", "");
  if (what == "register") {
    out.kind = Operation::Kind::kRegister;
    if (!json.contains("entry")) throw JsonError("entry: needed to register");
    out.entry = ParseEntry(json.at("entry"));
  } else if (what == "drain" || what == "deregister") {
    out.kind = what == "drain" ? Operation::Kind::kDrain : Operation::Kind::kDeregister;
    out.entry.id = Get<std::string>(json, "id", "");
    out.entry.holder = Get<std::string>(json, "holder", "");
  } else {
    throw JsonError("do: none of register, drain, deregister");
  }
  if (json.contains("if_version")) out.if_version = Whole(json, "if_version");
  return out;
}

Json Parse(const std::string& text) {
  Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) throw JsonError("no JSON");
  return json;
}

const Json& List(const Json& json, const char* key) {
  if (!json.contains(key) || !json.at(key).is_array())
    throw JsonError(std::string(key) + ": a list is needed");
  return json.at(key);
}

}  // namespace

const char* Name(Lifecycle lifecycle) {
  return lifecycle == Lifecycle::kUp ? "up" : lifecycle == Lifecycle::kDraining ? "draining" : "removed";
}

nlohmann::ordered_json ToJson(const Entry& entry) {
  return {{"instanceId", entry.id}, {"hostPort", entry.address},
          {"zone", entry.zone},     {"machineType", entry.machine},
          {"cell", entry.cell},     {"lifecycle", Name(entry.lifecycle)},
          {"weight", entry.weight}, {"startedAtMs", entry.started_ms},
          {"region", entry.region}, {"version", entry.version}};
}

std::string ListText(const Owed& owed, const std::set<std::string>& preserving, bool stale) {
  nlohmann::ordered_json out = {{"generation", owed.generation}, {"reset", owed.reset}};
  nlohmann::ordered_json instances = nlohmann::ordered_json::array();
  for (const Entry& entry : owed.entries) instances.push_back(ToJson(entry));
  out["instances"] = std::move(instances);
  if (!preserving.empty()) out["preserving"] = preserving;
  if (stale) out["stale"] = true;
  return out.dump() + "\n";
}

std::string ReplicaText(const Replica& replica) {
  nlohmann::ordered_json entries = nlohmann::ordered_json::array();
  nlohmann::ordered_json removed = nlohmann::ordered_json::array();
  for (const Entry& entry : replica.owed.entries) {
    if (entry.lifecycle == Lifecycle::kRemoved)
      removed.push_back(entry.id);
    else
      entries.push_back(ToStored(entry));
  }
  const nlohmann::ordered_json out = {
      {"since", replica.since},        {"generation", replica.owed.generation}, {"reset", replica.owed.reset},
      {"entries", std::move(entries)}, {"removed", std::move(removed)},         {"changed", replica.changed},
      {"keys", replica.keys},          {"preserving", replica.preserving}};
  return out.dump() + "\n";
}

Replica ParseReplica(const std::string& text) {
  const Json json = Parse(text);
  Replica out;
  try {
    out.since = json.at("since").get<std::int64_t>();
    out.owed.generation = json.at("generation").get<std::int64_t>();
    out.owed.reset = json.at("reset").get<bool>();
    for (const Json& each : List(json, "entries")) out.owed.entries.push_back(ParseEntry(each));
    for (const Json& each : List(json, "removed")) {
      Entry& entry = out.owed.entries.emplace_back();
      entry.id = each.get<std::string>();
      entry.lifecycle = Lifecycle::kRemoved;
    }
    json.at("changed").get_to(out.changed);
    json.at("keys").get_to(out.keys);
    json.at("preserving").get_to(out.preserving);
  } catch (const Json::exception& error) {
    throw JsonError(std::string("no replica: ") + error.what());
  }
  return out;
}

nlohmann::ordered_json ToStored(const Entry& entry) {
  nlohmann::ordered_json out = ToJson(entry);
  out["holder"] = entry.holder;
  out["term_s"] = static_cast<double>(entry.term) / 1e6;
  return out;
}

Entry FromStored(const Json& json) { return ParseEntry(json); }

Batch ParseBatch(const std::string& text) {
  const Json json = Parse(text);
  Only(json, {"operations", "key"});
  Batch out;
  out.key = Get<std::string>(json, "key", "");
  for (const Json& each : List(json, "operations")) out.operations.push_back(ParseOperation(each));
  return out;
}

std::vector<Renewal> ParseRenewals(const std::string& text) {
  const Json json = Parse(text);
  Only(json, {"renewals"});
  std::vector<Renewal> out;
  for (const Json& each : List(json, "renewals")) {
    Only(each, {"id", "holder"});
    out.push_back({Get<std::string>(each, "id", ""), Get<std::string>(each, "holder", "")});
  }
  return out;
}

}  // namespace violetwing::registry
