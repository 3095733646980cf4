// Reads a configuration of the operator and checks it: all findings are told together, each with its place.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_READER_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_READER_HPP_

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

// The operator's document as protobuf read it (generated/configuration.pb.h).
namespace violetwing::proto {
class Configuration;
}

namespace violetwing::configuration {

enum class RouteType { kIdempotent, kNonIdempotent, kStreaming };

struct Share {
  std::string backend;
  double weight = 0;
};

struct Route {
  std::string name;
  std::string hostname;
  std::string path_prefix;
  RouteType type = RouteType::kNonIdempotent;
  double timeout_ms = 0;
  double target_latency_ms = 0;
  int priority = 0;
  std::vector<Share> shares;  // at least one; weights add up to more than 0
  int max_attempts = 1;
  bool session_affinity = false;
  bool resumable = false;
  double gap_aim_ms = 0;

  // Whether a request may run more than once.
  bool Repeatable() const {
    return type == RouteType::kIdempotent || (type == RouteType::kStreaming && resumable);
  }
};

struct Model {
  std::string name;
  double weights_mb = 0;
  double load_time_s = 0;
  int adapters = 0;
  double adapter_mb = 0;
};

// Of services whose servers run models.
struct Runtime {
  int capacity = 1;
  double kv_cache_tokens = 0;
  std::vector<Model> models;
  double weights_mb = 0;
  int max_adapters = 0;
  double loads_per_s = 0;
};

struct Backend {
  std::string name;
  std::string health_check;
  int max_connections = 0;
  std::shared_ptr<const Runtime> runtime;  // null for plain services
};

struct Limits {
  std::int64_t max_header_bytes = 16384;
  std::int64_t max_body_bytes = 4194304;
  double header_timeout_ms = 3000;
  double idle_timeout_ms = 15000;
};

struct Configuration {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<Backend> backends;
  Limits limits;
};

// "routes[3].timeout_ms" and what is wrong there.
struct Finding {
  std::string place;
  std::string problem;
};
std::string ToText(const std::vector<Finding>& findings);

struct ReadResult {
  std::shared_ptr<const Configuration> configuration;  // null if there is any finding
  std::vector<Finding> findings;
  std::shared_ptr<const proto::Configuration> message;  // null if there is any finding
};

ReadResult Read(const std::string& json);
// The same as Read of the whole document that the patches lead to, one after the other, from the one read as
// `before`, whose items they replace, add and remove by name; only the patches are parsed. Null where one
// holds anything but lists of routes and services by name, and limits: the whole is to be read then.
std::optional<ReadResult> ReadPatched(const proto::Configuration& before,
                                      const std::vector<nlohmann::ordered_json>& patches);

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_READER_HPP_
