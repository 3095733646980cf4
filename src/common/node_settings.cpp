#include "common/node_settings.hpp"

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace violetwing {
namespace {

using nlohmann::json;

// Reads fields and collects what is wrong with them.
class Fields {
 public:
  Fields(json object, std::string place, std::string& problem)
      : object_(std::move(object)), place_(std::move(place)), problem_(problem) {}

  template <class T>
  void Read(const char* name, T& out) const {
    const auto it = object_.find(name);
    if (it == object_.end() || it->is_null()) return;
    try {
      out = it->get<T>();
    } catch (const json::exception&) {
      Report(name, "has the wrong type");
    }
  }

  template <class T>
  void ReadPositive(const char* name, T& out) const {
    Read(name, out);
    if (!(out > 0)) Report(name, "must be above 0");
  }

  void Report(const std::string& name, const std::string& what) const {
    problem_ += (problem_.empty() ? "" : "; ") + place_ + name + ": " + what;
  }

 private:
  const json object_;
  const std::string place_;
  std::string& problem_;
};

json Member(const json& in, const char* name) {
  const auto it = in.find(name);
  return it != in.end() && it->is_object() ? *it : json::object();
}

void ReadTimeouts(const json& in, NodeSettings& out, std::string& problem) {
  const Fields fields(in, "timeouts.", problem);
  double grace_s = 8;
  fields.ReadPositive("grace_s", grace_s);
  out.grace_ms = static_cast<std::int64_t>(grace_s * 1000);
  fields.Read("retry_ratio", out.retry_ratio);
  fields.ReadPositive("retry_window_s", out.retry_window_s);
  fields.Read("retry_slack", out.retry_slack);
  fields.Read("lease_ms", out.lease_ms);
  double catch_up_s = 4;
  fields.ReadPositive("catch_up_s", catch_up_s);
  out.catch_up_ms = static_cast<std::int64_t>(catch_up_s * 1000);
}

}  // namespace

std::string NodeSettings::InternalAddressOf(const std::string& seed) const {
  return seed.substr(0, seed.rfind(':')) + ":" + std::to_string(internal_port);
}

std::optional<NodeSettings> ParseSettings(const std::string& text, std::string& problem) {
  problem.clear();
  const json in = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!in.is_object()) {
    problem = "is not a JSON object";
    return std::nullopt;
  }
  NodeSettings out;
  const Fields fields(in, "", problem);
  fields.Read("node_name", out.node_name);
  fields.Read("ip", out.ip);
  fields.Read("zone", out.zone);
  fields.Read("bootstrap", out.bootstrap);
  fields.Read("data_dir", out.data_dir);
  fields.Read("seed_nodes", out.seeds);
  fields.ReadPositive("heartbeat_ms", out.heartbeat_ms);
  if (out.node_name.empty()) fields.Report("node_name", "is missing");
  if (out.ip.empty()) fields.Report("ip", "is missing");
  if (out.seeds.empty()) fields.Report("seed_nodes", "is missing or empty");
  const Fields listeners(Member(in, "listeners_addr"), "listeners_addr.", problem);
  listeners.Read("ingress", out.ingress);
  listeners.Read("readiness", out.readiness);
  listeners.Read("control_plane", out.control_plane);
  std::vector<int> ports;
  fields.Read("ephemeral_ports", ports);
  if (ports.size() == 2 && ports[0] > 0 && ports[0] <= ports[1] && ports[1] < 65536)
    out.internal_port = ports[0];
  else
    fields.Report("ephemeral_ports", "must be the first and the last of some ports");
  const Fields tolerance(Member(in, "fault_tolerance"), "fault_tolerance.", problem);
  tolerance.Read("nodes", out.tolerated_nodes);
  ReadTimeouts(Member(in, "timeouts"), out, problem);
  if (!problem.empty()) return std::nullopt;
  return out;
}

std::optional<NodeSettings> ReadSettings(const std::string& path, std::string& problem) {
  std::ifstream file(path);
  if (!file) {
    problem = "cannot be read";
    return std::nullopt;
  }
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  return ParseSettings(text, problem);
}

}  // namespace violetwing
