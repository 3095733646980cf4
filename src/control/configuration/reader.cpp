#include "control/configuration/reader.hpp"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "generated/configuration.pb.h"

namespace violetwing::configuration {
namespace {

std::string At(const char* list, int index, const char* field) {
  return std::string(list) + "[" + std::to_string(index) + "]" + (*field != 0 ? "." : "") + field;
}

class Checker {
 public:
  explicit Checker(const proto::Configuration& in) : in_(in) {}

  ReadResult Check() {
    if (in_.version() <= 0) Report("version", "must be above 0");
    for (int i = 0; i < in_.backends_size(); ++i) CheckBackend(i);
    for (int i = 0; i < in_.routes_size(); ++i) CheckRoute(i);
    CheckLimits();
    if (!findings_.empty()) return {nullptr, std::move(findings_), nullptr};
    out_.version = in_.version();
    return {std::make_shared<const Configuration>(std::move(out_)), {}, nullptr};
  }

 private:
  void Report(std::string place, std::string problem) {
    findings_.push_back({std::move(place), std::move(problem)});
  }

  void CheckBackend(int index) {
    const proto::Backend& in = in_.backends(index);
    if (in.name().empty()) Report(At("backends", index, "name"), "is missing");
    if (!services_.insert(in.name()).second)
      Report(At("backends", index, "name"), "stands twice: " + in.name());
    if (in.max_connections() < 0) Report(At("backends", index, "max_connections"), "must not be negative");
    Backend out{in.name(), in.health_check(), in.max_connections(), nullptr};
    if (in.has_runtime()) out.runtime = CheckRuntime(in.runtime(), index);
    out_.backends.push_back(std::move(out));
  }

  std::shared_ptr<const Runtime> CheckRuntime(const proto::Runtime& in, int index) {
    auto out = std::make_shared<Runtime>();
    out->capacity = in.capacity() > 0 ? in.capacity() : 1;
    out->kv_cache_tokens = in.kv_cache_tokens();
    out->weights_mb = in.weights_mb();
    out->max_adapters = in.max_adapters();
    out->loads_per_s = in.loads_per_s();
    std::set<std::string> names;
    for (const proto::Model& model : in.models()) {
      if (model.name().empty() || !names.insert(model.name()).second)
        Report(At("backends", index, "runtime.models"), "a name is missing or stands twice: " + model.name());
      if (model.weights_mb() < 0 || model.load_time_s() < 0 || model.adapters() < 0)
        Report(At("backends", index, "runtime.models"), "negative figure of " + model.name());
      out->models.push_back(
          {model.name(), model.weights_mb(), model.load_time_s(), model.adapters(), model.adapter_size_mb()});
    }
    return out;
  }

  void CheckRoute(int index) {
    const proto::Route& in = in_.routes(index);
    Route out;
    out.name = in.name();
    out.hostname = in.hostname();
    out.path_prefix = in.path_prefix();
    out.timeout_ms = in.timeout_ms();
    out.target_latency_ms = in.target_latency_ms();
    out.priority = in.priority();
    out.max_attempts = in.max_attempts() > 0 ? in.max_attempts() : 1;
    out.session_affinity = in.session_affinity();
    out.resumable = in.resumable();
    out.gap_aim_ms = in.gap_aim_ms();
    if (in.name().empty()) Report(At("routes", index, "name"), "is missing");
    if (!routes_.insert(in.name()).second) Report(At("routes", index, "name"), "stands twice: " + in.name());
    if (in.path_prefix().empty() || in.path_prefix().front() != '/')
      Report(At("routes", index, "path_prefix"), "must begin with a slash");
    if (!places_.emplace(in.hostname(), in.path_prefix()).second)
      Report(At("routes", index, "path_prefix"), "another route has the same host and prefix");
    if (!(in.timeout_ms() > 0)) Report(At("routes", index, "timeout_ms"), "must be above 0");
    if (in.max_attempts() < 0) Report(At("routes", index, "max_attempts"), "must not be negative");
    ReadType(in.type(), index, out);
    ReadShares(in, index, out);
    out_.routes.push_back(std::move(out));
  }

  void ReadType(const std::string& type, int index, Route& out) {
    if (type == "idempotent")
      out.type = RouteType::kIdempotent;
    else if (type == "streaming")
      out.type = RouteType::kStreaming;
    else if (type == "non_idempotent")
      out.type = RouteType::kNonIdempotent;
    else
      Report(At("routes", index, "type"), "is not known: " + type);
  }

  void ReadShares(const proto::Route& in, int index, Route& out) {
    if (in.traffic_split_size() == 0) {
      if (services_.count(in.backend()) == 0)
        Report(At("routes", index, "backend"), "names no service: " + in.backend());
      out.shares.push_back({in.backend(), 1});
      return;
    }
    double sum = 0;
    for (const proto::Share& share : in.traffic_split()) {
      if (services_.count(share.backend()) == 0)
        Report(At("routes", index, "traffic_split"), "names no service: " + share.backend());
      if (!(share.weight() >= 0)) Report(At("routes", index, "traffic_split"), "a weight is negative");
      sum += share.weight();
      out.shares.push_back({share.backend(), share.weight()});
    }
    if (!(sum > 0)) Report(At("routes", index, "traffic_split"), "the weights add up to 0");
  }

  void CheckLimits() {
    if (!in_.has_limits()) return;
    const proto::Limits& in = in_.limits();
    if (in.max_header_bytes() < 0 || in.max_body_bytes() < 0 || in.header_timeout_ms() < 0 ||
        in.idle_timeout_ms() < 0)
      Report("limits", "must not be negative");
    if (in.max_header_bytes() > 0) out_.limits.max_header_bytes = in.max_header_bytes();
    if (in.max_body_bytes() > 0) out_.limits.max_body_bytes = in.max_body_bytes();
    if (in.header_timeout_ms() > 0) out_.limits.header_timeout_ms = in.header_timeout_ms();
    if (in.idle_timeout_ms() > 0) out_.limits.idle_timeout_ms = in.idle_timeout_ms();
  }

  const proto::Configuration& in_;
  Configuration out_;
  std::vector<Finding> findings_;
  std::set<std::string> services_;
  std::set<std::string> routes_;
  std::set<std::pair<std::string, std::string>> places_;
};

using Json = nlohmann::ordered_json;

constexpr const char* kRoutes = "routes";
constexpr const char* kBackends = "backends";
constexpr const char* kLimits = "limits";

// What is wrong; empty if nothing is.
std::string Parse(const std::string& json, proto::Configuration& out) {
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  const auto status = google::protobuf::util::JsonStringToMessage(json, &out, options);
  return status.ok() ? std::string() : std::string(status.message());
}

ReadResult CheckMessage(std::shared_ptr<const proto::Configuration> message) {
  ReadResult result = Checker(*message).Check();
  if (result.configuration != nullptr) result.message = std::move(message);
  return result;
}

// Whether a patch of these items leads, list by list, to what reading the whole would.
bool IsByName(const Json& upsert) {
  for (const auto& [key, items] : upsert.items()) {
    const bool list = key == kRoutes || key == kBackends;
    if (list ? !items.is_array() : key != kLimits || !items.is_object()) return false;
  }
  return true;
}

template <class Item>
void Remove(google::protobuf::RepeatedPtrField<Item>& list, const Json& names) {
  std::set<std::string> gone;
  for (const Json& name : names) gone.insert(name.get<std::string>());
  if (gone.empty()) return;
  const auto end =
      std::remove_if(list.begin(), list.end(), [&](const Item& item) { return gone.count(item.name()) > 0; });
  list.DeleteSubrange(static_cast<int>(end - list.begin()), static_cast<int>(list.end() - end));
}

template <class Item>
void Upsert(google::protobuf::RepeatedPtrField<Item>& list,
            const google::protobuf::RepeatedPtrField<Item>& items) {
  if (items.empty()) return;
  std::unordered_map<std::string_view, int> places;
  places.reserve(static_cast<std::size_t>(list.size()) + static_cast<std::size_t>(items.size()));
  for (int at = 0; at < list.size(); ++at) places.emplace(list.Get(at).name(), at);
  for (const Item& item : items) {
    const auto [place, added] = places.emplace(item.name(), list.size());
    if (added)
      *list.Add() = item;
    else
      *list.Mutable(place->second) = item;
  }
}

// False where the patch has to be worked into the document, and the whole be read.
bool ApplyPatch(proto::Configuration& message, const Json& patch) {
  if (!patch.is_object() || !patch.contains("version")) return false;
  const Json upsert = patch.value("upsert", Json::object());
  const Json remove = patch.value("delete", Json::object());
  if (!IsByName(upsert)) return false;
  Json items = upsert;
  items["version"] = patch.at("version");
  proto::Configuration changed;
  if (!Parse(items.dump(), changed).empty()) return false;  // reading the whole tells the place
  message.set_version(changed.version());
  Remove(*message.mutable_routes(), remove.value(kRoutes, Json::array()));
  Remove(*message.mutable_backends(), remove.value(kBackends, Json::array()));
  Upsert(*message.mutable_routes(), changed.routes());
  Upsert(*message.mutable_backends(), changed.backends());
  if (changed.has_limits()) *message.mutable_limits() = changed.limits();
  return true;
}

}  // namespace

std::string ToText(const std::vector<Finding>& findings) {
  std::string out;
  for (const Finding& finding : findings)
    out += (out.empty() ? "" : "; ") + finding.place + ": " + finding.problem;
  return out;
}

ReadResult Read(const std::string& json) {
  auto message = std::make_shared<proto::Configuration>();
  if (const std::string problem = Parse(json, *message); !problem.empty())
    return {nullptr, {{"document", problem}}, nullptr};
  return CheckMessage(std::move(message));
}

std::optional<ReadResult> ReadPatched(const proto::Configuration& before, const std::vector<Json>& patches) {
  auto message = std::make_shared<proto::Configuration>(before);
  for (const Json& patch : patches)
    if (!ApplyPatch(*message, patch)) return std::nullopt;
  return CheckMessage(std::move(message));
}

}  // namespace violetwing::configuration
