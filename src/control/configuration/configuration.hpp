// The operator's configuration as the programs use it, checked and with defaults filled in (PROTOCOL.md, "The
// operator's API"). Field names are those of the document.
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
  kStreaming,  // may if the route is `resumable` too
};

/// A backend of a route, and its weight among the route's backends.
struct Share {
  std::string backend;
  double weight = 0;
};

/// Which requests go to which backends, and on what terms.
struct Route {
  std::string name;  // unique
  std::string hostname;
  std::string path_prefix;  // begins with a slash; unique per hostname
  RouteType type = RouteType::kNonIdempotent;
  double timeout_ms = 0;  // above 0
  double target_latency_ms = 0;
  int priority = 0;
  std::vector<Share> shares;  // at least one; the sum of the weights is above 0
  int max_attempts = 1;       // at least 1
  bool session_affinity = false;
  bool resumable = false;
  double gap_aim_ms = 0;   // latency target between two events of a stream
  bool is_public = false;  // `public` of the document: requests need no key

  /// Whether a request may be executed more than once.
  bool Repeatable() const {
    return type == RouteType::kIdempotent || (type == RouteType::kStreaming && resumable);
  }
};

/// A model that the servers of a backend can load (PROTOCOL.md, "Model placement").
struct Model {
  std::string name;  // unique in its backend
  double weights_mb = 0;
  double load_time_s = 0;  // from the weight store
  int adapters = 0;        // number of them
  double adapter_mb = 0;   // `adapter_size_mb` of the document
};

/// Of a backend whose servers run models (PROTOCOL.md, "Model placement").
struct Runtime {
  int capacity = 1;  // concurrent requests of a server
  double kv_cache_tokens = 0;
  std::vector<Model> models;
  double weights_mb = 0;   // a server's memory for weights and adapters
  int max_adapters = 0;    // of a server
  double loads_per_s = 0;  // rate limit of the weight store over all servers
};

/// Bounds on the number of servers in each zone, and how long a new one takes until it serves.
struct Autoscaling {
  int min_replicas = 0;
  int max_replicas = 0;  // at least `min_replicas`
  double startup_s = 0;
};

/// A service: a group of servers that are alike.
struct Backend {
  std::string name;          // unique
  std::string health_check;  // path
  int max_connections = 0;
  std::shared_ptr<const Runtime> runtime;                 // null for plain services
  std::optional<Autoscaling> autoscaling = std::nullopt;  // empty where the number of servers is fixed
};

/// A customer, recognized by its API keys. The keys are secrets: they appear in no log, message or finding.
struct Tenant {
  std::string name;                   // unique
  std::vector<std::string> api_keys;  // not empty strings; no other tenant has them
  std::optional<int> priority;        // goes before the priority of the route
};

/// Limits on requests at the ingress.
struct Limits {
  std::int64_t max_header_bytes = 16384;
  std::int64_t max_body_bytes = 4194304;
  double header_timeout_ms = 3000;
  double idle_timeout_ms = 15000;
};

/// One version of the whole. Immutable once read.
struct Configuration {
  std::int64_t version = 0;  // above 0
  std::vector<Route> routes;
  std::vector<Backend> backends;
  Limits limits;
  std::vector<Tenant> tenants;  // empty where requests need no keys
};

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_CONFIGURATION_HPP_
