// The settings file of a violetwing-node process, as the platform writes it (the users' page DEPLOY, section
// on settings). Unknown fields are ignored.
#ifndef VIOLETWING_COMMON_NODE_SETTINGS_HPP_
#define VIOLETWING_COMMON_NODE_SETTINGS_HPP_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace violetwing {

/// What a process is told of itself and of the system when it starts, and again when the file changes.
struct NodeSettings {
  std::string node_name;
  std::string ip;
  std::string zone;
  std::string ingress;             ///< host:port for clients; of edges
  std::string readiness;           ///< host:port that the platform asks whether the process is ready
  std::string control_plane;       ///< host:port for servers and the operator; of control processes
  int internal_port = 0;           ///< the first of `ephemeral_ports`: calls between the processes
  std::vector<std::string> seeds;  ///< control_plane addresses of the seed nodes
  bool bootstrap = false;          ///< the first start of the system: the seeds are its first voters
  std::string data_dir;            ///< where a control process keeps its store
  std::int64_t heartbeat_ms = 1000;
  int tolerated_nodes = 1;  ///< control processes that may be lost at the same time

  std::int64_t grace_ms = 8000;  ///< from SIGTERM to SIGKILL
  double retry_ratio = 0.2;      ///< retries allowed for each request, within the window
  double retry_window_s = 10;
  double retry_slack = 10;          ///< further retries allowed within the window, over all edges
  std::int64_t lease_ms = 3000;     ///< holders A, B and A of a duty must not act within this time
  std::int64_t catch_up_ms = 4000;  ///< a machine that has started counts as lost for this time

  bool revoked_keys = false;             ///< a revoked key must stop within `revoke_ms` on every machine
  std::int64_t revoke_ms = 5000;         ///< likewise
  std::int64_t report_window_ms = 5000;  ///< length of a window of usage
  std::int64_t usage_delay_ms = 10000;   ///< from a window's end until its usage report is due

  std::string platform_address;  ///< host:port of the platform's API; empty where it has none
  bool reports_usage = false;    ///< the platform takes usage reports

  /// Where this process takes internal calls.
  std::string InternalAddress() const { return ip + ":" + std::to_string(internal_port); }
  /// Where the control process at this seed takes internal calls: ports are alike on all machines.
  std::string InternalAddressOf(const std::string& seed) const;
};

/// Why settings cannot be used: one finding for each field.
struct SettingsError {
  /// One thing that is wrong.
  struct Finding {
    std::string path;  ///< of the field, such as "timeouts.grace_s"; empty for the file itself
    std::string message;
  };
  std::vector<Finding> findings;

  /// All findings in one line: "timeouts.grace_s: must be above 0; ip: is missing".
  std::string ToString() const;
};

/// The settings, or what is wrong with them.
using SettingsResult = std::variant<NodeSettings, SettingsError>;

/// Reads settings from the text of the file.
SettingsResult ParseNodeSettings(const std::string& json);
/// Reads the file; one that cannot be read is a finding too.
SettingsResult ReadNodeSettings(const std::string& path);

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_NODE_SETTINGS_HPP_
