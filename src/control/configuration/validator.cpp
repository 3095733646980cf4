#include "control/configuration/validator.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "generated/configuration.pb.h"

namespace violetwing::configuration {
namespace {

// One answer lists no more; the operator sends the document again in any case.
constexpr std::size_t kMaxFindings = 100;

// Returns the path of a field of a list item, for example "routes[3].name".
std::string FieldPath(const char* list, int index, const char* field) {
  return std::string(list) + "[" + std::to_string(index) + "]." + field;
}

// Validates one document and builds the configuration from it.
class Validator {
 public:
  explicit Validator(const proto::Configuration& in) : in_(in) {}

  ValidationResult Run() {
    if (in_.version() <= 0) AddFinding(FindingCode::kOutOfRange, "version", "must be above 0");
    for (int i = 0; i < in_.backends_size(); ++i) AddBackend(i);
    for (int i = 0; i < in_.routes_size(); ++i) AddRoute(i);
    for (int i = 0; i < in_.tenants_size(); ++i) AddTenant(i);
    SetLimits();
    if (!findings_.empty()) return {nullptr, std::move(findings_)};
    out_.version = in_.version();
    return {std::make_shared<const Configuration>(std::move(out_)), {}};
  }

 private:
  void AddFinding(FindingCode code, std::string path, std::string message) {
    if (findings_.size() < kMaxFindings) findings_.push_back({code, std::move(path), std::move(message)});
  }

  void AddBackend(int index) {
    const proto::Backend& in = in_.backends(index);
    if (in.name().empty())
      AddFinding(FindingCode::kMissing, FieldPath("backends", index, "name"), "is missing");
    if (!backend_names_.insert(in.name()).second)
      AddFinding(FindingCode::kDuplicate, FieldPath("backends", index, "name"), "stands twice: " + in.name());
    if (in.max_connections() < 0)
      AddFinding(FindingCode::kOutOfRange, FieldPath("backends", index, "max_connections"),
                 "must not be negative");
    Backend out{in.name(), in.health_check(), in.max_connections(), nullptr, std::nullopt};
    if (in.has_autoscaling()) out.autoscaling = MakeAutoscaling(in.autoscaling(), index);
    if (in.has_runtime()) out.runtime = MakeRuntime(in.runtime(), index);
    out_.backends.push_back(std::move(out));
  }

  Autoscaling MakeAutoscaling(const proto::Autoscaling& in, int index) {
    if (in.min_replicas() < 0 || in.max_replicas() < in.min_replicas() || !(in.startup_s() >= 0))
      AddFinding(FindingCode::kOutOfRange, FieldPath("backends", index, "autoscaling"),
                 "must have 0 <= min_replicas <= max_replicas and a startup_s that is not negative");
    return {in.min_replicas(), in.max_replicas(), in.startup_s()};
  }

  std::shared_ptr<const Runtime> MakeRuntime(const proto::Runtime& in, int index) {
    auto out = std::make_shared<Runtime>();
    out->capacity = in.capacity() > 0 ? in.capacity() : 1;
    out->kv_cache_tokens = in.kv_cache_tokens();
    out->weights_mb = in.weights_mb();
    out->max_adapters = in.max_adapters();
    out->loads_per_s = in.loads_per_s();
    std::set<std::string> names;
    for (const proto::Model& model : in.models()) {
      if (model.name().empty() || !names.insert(model.name()).second)
        AddFinding(model.name().empty() ? FindingCode::kMissing : FindingCode::kDuplicate,
                   FieldPath("backends", index, "runtime.models"),
                   "a name is missing or stands twice: " + model.name());
      if (model.weights_mb() < 0 || model.load_time_s() < 0 || model.adapters() < 0)
        AddFinding(FindingCode::kOutOfRange, FieldPath("backends", index, "runtime.models"),
                   "negative figure of " + model.name());
      out->models.push_back(
          {model.name(), model.weights_mb(), model.load_time_s(), model.adapters(), model.adapter_size_mb()});
    }
    return out;
  }

  void AddRoute(int index) {
    const proto::Route& in = in_.routes(index);
    CheckRoute(in, index);
    Route out = CopyRoute(in);
    SetType(in.type(), index, out);
    SetShares(in, index, out);
    out_.routes.push_back(std::move(out));
  }

  void CheckRoute(const proto::Route& in, int index) {
    if (in.name().empty())
      AddFinding(FindingCode::kMissing, FieldPath("routes", index, "name"), "is missing");
    if (!route_names_.insert(in.name()).second)
      AddFinding(FindingCode::kDuplicate, FieldPath("routes", index, "name"), "stands twice: " + in.name());
    if (in.path_prefix().empty() || in.path_prefix().front() != '/')
      AddFinding(FindingCode::kOutOfRange, FieldPath("routes", index, "path_prefix"),
                 "must begin with a slash");
    if (!path_prefixes_.emplace(in.hostname(), in.path_prefix()).second)
      AddFinding(FindingCode::kDuplicate, FieldPath("routes", index, "path_prefix"),
                 "another route has the same host and prefix");
    if (!(in.timeout_ms() > 0))
      AddFinding(FindingCode::kOutOfRange, FieldPath("routes", index, "timeout_ms"), "must be above 0");
    if (in.max_attempts() < 0)
      AddFinding(FindingCode::kOutOfRange, FieldPath("routes", index, "max_attempts"),
                 "must not be negative");
  }

  // Copies the fields that need no further validation, with defaults filled in.
  static Route CopyRoute(const proto::Route& in) {
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
    out.is_public = in.public_();
    return out;
  }

  void SetType(const std::string& type, int index, Route& out) {
    if (type == "idempotent")
      out.type = RouteType::kIdempotent;
    else if (type == "streaming")
      out.type = RouteType::kStreaming;
    else if (type == "non_idempotent")
      out.type = RouteType::kNonIdempotent;
    else
      AddFinding(FindingCode::kUnknownValue, FieldPath("routes", index, "type"), "is not known: " + type);
  }

  void SetShares(const proto::Route& in, int index, Route& out) {
    if (in.traffic_split_size() == 0) {
      if (backend_names_.count(in.backend()) == 0)
        AddFinding(FindingCode::kUnknownReference, FieldPath("routes", index, "backend"),
                   "names no service: " + in.backend());
      out.shares.push_back({in.backend(), 1});
      return;
    }
    double weights = 0;
    for (const proto::Share& share : in.traffic_split()) {
      if (backend_names_.count(share.backend()) == 0)
        AddFinding(FindingCode::kUnknownReference, FieldPath("routes", index, "traffic_split"),
                   "names no service: " + share.backend());
      if (!(share.weight() >= 0))
        AddFinding(FindingCode::kOutOfRange, FieldPath("routes", index, "traffic_split"),
                   "a weight is negative");
      weights += share.weight();
      out.shares.push_back({share.backend(), share.weight()});
    }
    if (!(weights > 0))
      AddFinding(FindingCode::kOutOfRange, FieldPath("routes", index, "traffic_split"),
                 "the weights add up to 0");
  }

  // Findings contain the path of an API key, never the key itself.
  void AddTenant(int index) {
    const proto::Tenant& in = in_.tenants(index);
    if (in.name().empty())
      AddFinding(FindingCode::kMissing, FieldPath("tenants", index, "name"), "is missing");
    if (!tenant_names_.insert(in.name()).second)
      AddFinding(FindingCode::kDuplicate, FieldPath("tenants", index, "name"), "stands twice: " + in.name());
    for (int i = 0; i < in.api_keys_size(); ++i) CheckKey(in, index, i);
    Tenant out{in.name(), {in.api_keys().begin(), in.api_keys().end()}, std::nullopt};
    if (in.has_priority()) out.priority = in.priority();
    out_.tenants.push_back(std::move(out));
  }

  void CheckKey(const proto::Tenant& tenant, int tenant_index, int key_index) {
    const std::string& key = tenant.api_keys(key_index);
    const std::string path =
        FieldPath("tenants", tenant_index, "api_keys") + "[" + std::to_string(key_index) + "]";
    if (key.empty()) AddFinding(FindingCode::kMissing, path, "is empty");
    const auto [owner, inserted] = key_owners_.emplace(key, tenant_index);
    if (!inserted && owner->second != tenant_index)
      AddFinding(FindingCode::kDuplicate, path,
                 "is also a key of the tenant " + in_.tenants(owner->second).name());
  }

  void SetLimits() {
    if (!in_.has_limits()) return;
    const proto::Limits& in = in_.limits();
    if (in.max_header_bytes() < 0 || in.max_body_bytes() < 0 || in.header_timeout_ms() < 0 ||
        in.idle_timeout_ms() < 0)
      AddFinding(FindingCode::kOutOfRange, "limits", "must not be negative");
    if (in.max_header_bytes() > 0) out_.limits.max_header_bytes = in.max_header_bytes();
    if (in.max_body_bytes() > 0) out_.limits.max_body_bytes = in.max_body_bytes();
    if (in.header_timeout_ms() > 0) out_.limits.header_timeout_ms = in.header_timeout_ms();
    if (in.idle_timeout_ms() > 0) out_.limits.idle_timeout_ms = in.idle_timeout_ms();
  }

  const proto::Configuration& in_;
  Configuration out_;
  std::vector<Finding> findings_;
  std::set<std::string> backend_names_;
  std::set<std::string> route_names_;
  std::set<std::string> tenant_names_;
  std::map<std::string, int> key_owners_;                        // tenant index by API key
  std::set<std::pair<std::string, std::string>> path_prefixes_;  // pairs of hostname and path prefix
};

}  // namespace

ValidationResult Validate(const proto::Configuration& message) { return Validator(message).Run(); }

}  // namespace violetwing::configuration
