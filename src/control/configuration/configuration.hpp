// The operator's configuration after validation, with defaults filled in (PROTOCOL.md, "The operator's API").
// Unless noted, fields have the names of the document.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_CONFIGURATION_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_CONFIGURATION_HPP_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace violetwing::configuration {

/// Whether a request of a route may be executed more than once.
enum class RouteType {
  kIdempotent,
  kNonIdempotent,
  kStreaming,  // may be executed more than once only if the route is also `resumable`
};

/// A backend of a route and its weight relative to the route's other backends.
struct Share {
  std::string backend;
  double weight = 0;
};

/// Maps requests to backends and sets their timeouts, priority and retry limit.
struct Route {
  std::string name;  // unique
  std::string hostname;
  std::string path_prefix;  // begins with a slash; unique per hostname
  RouteType type = RouteType::kNonIdempotent;
  double timeout_ms = 0;  // above 0
  double target_latency_ms = 0;
  int priority = 0;
  // `traffic_split` in the document, or its `backend` alone. At least one; the sum of the weights is above 0.
  std::vector<Share> shares;
  int max_attempts = 1;  // at least 1
  bool session_affinity = false;
  bool resumable = false;
  double gap_aim_ms = 0;   // latency target between two events of a stream
  bool is_public = false;  // `public` in the document: requests need no API key

  /// Whether a request may be executed more than once, so that a retry is safe.
  bool Repeatable() const {
    return type == RouteType::kIdempotent || (type == RouteType::kStreaming && resumable);
  }
};

/// A model that a backend's servers can load (PROTOCOL.md, "Model placement").
struct Model {
  std::string name;  // unique in its backend
  double weights_mb = 0;
  double load_time_s = 0;  // time to load the weights from the weight store
  int adapters = 0;        // number of adapters
  double adapter_mb = 0;   // size of one adapter; `adapter_size_mb` in the document
};

/// Properties of a backend whose servers run models (PROTOCOL.md, "Model placement").
struct Runtime {
  int capacity = 1;  // concurrent requests per server
  double kv_cache_tokens = 0;
  std::vector<Model> models;
  double weights_mb = 0;   // memory for weights and adapters per server
  int max_adapters = 0;    // per server
  double loads_per_s = 0;  // rate limit of the weight store across all servers
};

/// Bounds on the number of servers in each zone, and the startup time of a new server.
struct Autoscaling {
  int min_replicas = 0;
  int max_replicas = 0;  // at least `min_replicas`
  double startup_s = 0;  // time until a new server accepts requests
};

/// A service: a group of identical servers.
struct Backend {
  std::string name;          // unique
  std::string health_check;  // path
  int max_connections = 0;
  std::shared_ptr<const Runtime> runtime;                 // null for services without models
  std::optional<Autoscaling> autoscaling = std::nullopt;  // empty if the number of servers is fixed
};

/// A customer, identified by its API keys. The keys are secrets and must not appear in logs, messages or
/// findings.
struct Tenant {
  std::string name;                   // unique
  std::vector<std::string> api_keys;  // non-empty; not shared with another tenant
  std::optional<int> priority;        // overrides the priority of the route
};

/// Limits on requests at the ingress.
struct Limits {
  std::int64_t max_header_bytes = 16384;
  std::int64_t max_body_bytes = 4194304;
  double header_timeout_ms = 3000;
  double idle_timeout_ms = 15000;
};

/// One version of the complete configuration. Immutable after it has been read.
struct Configuration {
  std::int64_t version = 0;  // above 0
  std::vector<Route> routes;
  std::vector<Backend> backends;
  Limits limits;
  std::vector<Tenant> tenants;  // empty if requests need no API keys
};

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_CONFIGURATION_HPP_
