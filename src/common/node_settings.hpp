// The settings file of a process, as the platform writes it. What makes no sense is told in one line; unknown
// fields are passed over.
#ifndef VIOLETWING_COMMON_NODE_SETTINGS_HPP_
#define VIOLETWING_COMMON_NODE_SETTINGS_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace violetwing {

struct NodeSettings {
  std::string node_name;
  std::string ip;
  std::string zone;
  std::string ingress;             // address that clients are passed to
  std::string readiness;           // address that the platform asks
  std::string control_plane;       // address for servers and the operator
  int internal_port = 0;           // the first of `ephemeral_ports`: calls between the processes
  std::vector<std::string> seeds;  // control_plane addresses
  bool bootstrap = false;
  std::string data_dir;
  std::int64_t heartbeat_ms = 1000;
  int tolerated_nodes = 1;  // control processes that may be lost at one time

  std::int64_t grace_ms = 8000;
  double retry_ratio = 0.2;
  double retry_window_s = 10;
  double retry_slack = 10;
  std::int64_t lease_ms = 3000;
  std::int64_t catch_up_ms = 4000;  // a machine that has started counts as lost for so long

  std::string InternalAddress() const { return ip + ":" + std::to_string(internal_port); }
  // Where the control process at this seed takes internal calls: ports are alike on all machines.
  std::string InternalAddressOf(const std::string& seed) const;
};

// Empty with a reason in `problem`, which names the place.
std::optional<NodeSettings> ParseSettings(const std::string& json, std::string& problem);
std::optional<NodeSettings> ReadSettings(const std::string& path, std::string& problem);

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_NODE_SETTINGS_HPP_
