#include "common/node_settings.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace violetwing {
namespace {

using nlohmann::json;

// Reads the fields of a JSON object and collects errors as findings.
class Fields {
 public:
  Fields(json object, std::string path, SettingsError& error)
      : object_(std::move(object)), path_(std::move(path)), error_(error) {}

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

  void Report(const std::string& name, const std::string& message) const {
    error_.findings.push_back({path_ + name, message});
  }

 private:
  const json object_;
  const std::string path_;
  SettingsError& error_;
};

json ObjectMember(const json& in, const char* name) {
  const auto it = in.find(name);
  return it != in.end() && it->is_object() ? *it : json::object();
}

// Reads a time in seconds into `out_ms`, in milliseconds. Keeps the default if the field is missing.
void ReadSeconds(const Fields& fields, const char* name, std::int64_t& out_ms) {
  double seconds = static_cast<double>(out_ms) / 1000;
  fields.ReadPositive(name, seconds);
  out_ms = static_cast<std::int64_t>(seconds * 1000);
}

void ReadTimeouts(const json& in, NodeSettings& out, SettingsError& error) {
  const Fields fields(in, "timeouts.", error);
  ReadSeconds(fields, "grace_s", out.grace_ms);
  fields.Read("retry_ratio", out.retry_ratio);
  fields.ReadPositive("retry_window_s", out.retry_window_s);
  fields.Read("retry_slack", out.retry_slack);
  fields.Read("lease_ms", out.lease_ms);
  ReadSeconds(fields, "catch_up_s", out.catch_up_ms);
  fields.Read("revoked_keys", out.revoked_keys);
  fields.Read("revoke_ms", out.revoke_ms);
  ReadSeconds(fields, "report_window_s", out.report_window_ms);
  ReadSeconds(fields, "usage_delay_s", out.usage_delay_ms);
}

void ReadPlatform(const json& in, NodeSettings& out, SettingsError& error) {
  const Fields fields(in, "cloud_api.", error);
  std::vector<std::string> leases;
  fields.Read("address", out.platform_address);
  fields.Read("leases", leases);
  out.reports_usage = std::find(leases.begin(), leases.end(), "metering") != leases.end();
}

void ReadNode(const json& in, NodeSettings& out, SettingsError& error) {
  const Fields fields(in, "", error);
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
}

void ReadListeners(const json& in, NodeSettings& out, SettingsError& error) {
  const Fields fields(in, "listeners_addr.", error);
  fields.Read("ingress", out.ingress);
  fields.Read("readiness", out.readiness);
  fields.Read("control_plane", out.control_plane);
}

void ReadProcessLimits(const json& in, NodeSettings& out, SettingsError& error) {
  const Fields fields(in, "limits.", error);
  fields.ReadPositive("memory_mb", out.memory_mb);
  fields.ReadPositive("max_fds", out.max_descriptors);
}

void ReadPorts(const json& in, NodeSettings& out, SettingsError& error) {
  constexpr int kMaxPort = 65535;
  const Fields fields(in, "", error);
  std::vector<int> ports;
  fields.Read("ephemeral_ports", ports);
  if (ports.size() == 2 && ports[0] > 0 && ports[0] <= ports[1] && ports[1] <= kMaxPort)
    out.internal_port = ports[0];
  else
    fields.Report("ephemeral_ports", "must be [first, last], two ports from 1 to 65535 in ascending order");
}

}  // namespace

std::string NodeSettings::InternalAddressOf(const std::string& seed) const {
  return seed.substr(0, seed.rfind(':')) + ":" + std::to_string(internal_port);
}

std::string SettingsError::ToString() const {
  std::string line;
  for (const Finding& finding : findings) {
    if (!line.empty()) line += "; ";
    if (!finding.path.empty()) line += finding.path + ": ";
    line += finding.message;
  }
  return line;
}

SettingsResult ParseNodeSettings(const std::string& text) {
  const json in = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!in.is_object()) return SettingsError{{{"", "is not a JSON object"}}};
  NodeSettings out;
  SettingsError error;
  ReadNode(in, out, error);
  ReadListeners(ObjectMember(in, "listeners_addr"), out, error);
  ReadProcessLimits(ObjectMember(in, "limits"), out, error);
  ReadPorts(in, out, error);
  const Fields tolerance(ObjectMember(in, "fault_tolerance"), "fault_tolerance.", error);
  tolerance.Read("nodes", out.tolerated_nodes);
  ReadTimeouts(ObjectMember(in, "timeouts"), out, error);
  ReadPlatform(ObjectMember(in, "cloud_api"), out, error);
  if (!error.findings.empty()) return error;
  return out;
}

SettingsResult ReadNodeSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) return SettingsError{{{"", "cannot be read"}}};
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  return ParseNodeSettings(text);
}

}  // namespace violetwing
