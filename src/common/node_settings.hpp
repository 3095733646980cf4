// The settings file of a violetwing-node process, which the platform writes. Documented for users in DEPLOY,
// section on settings. Unknown fields are ignored.
#ifndef VIOLETWING_COMMON_NODE_SETTINGS_HPP_
#define VIOLETWING_COMMON_NODE_SETTINGS_HPP_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace violetwing {

/// Settings of a process, read at startup and again whenever the file changes.
struct NodeSettings {
  std::string node_name;
  std::string ip;
  std::string zone;
  std::string ingress;             ///< host:port for clients; edges only
  std::string readiness;           ///< host:port that the platform probes for readiness
  std::string control_plane;       ///< host:port for servers and operators; control processes only
  int internal_port = 0;           ///< first of `ephemeral_ports`, for calls between processes
  std::vector<std::string> seeds;  ///< control_plane addresses of the seed nodes
  bool bootstrap = false;          ///< first start of the system: the seeds are the initial voters
  std::string data_dir;            ///< directory of a control process's store
  std::int64_t heartbeat_ms = 1000;
  int tolerated_nodes = 1;  ///< control processes whose simultaneous loss is tolerated

  std::int64_t memory_mb = 256;         ///< the platform ends a process that holds more
  std::int64_t max_descriptors = 4096;  ///< `limits.max_fds`

  std::int64_t grace_ms = 8000;  ///< time from SIGTERM to SIGKILL
  double retry_ratio = 0.2;      ///< retries allowed per request within the window
  double retry_window_s = 10;
  double retry_slack = 10;          ///< additional retries allowed within the window, for all edges together
  std::int64_t lease_ms = 3000;     ///< holders A, B and again A of a duty must not all act within this time
  std::int64_t catch_up_ms = 4000;  ///< time for which a machine that has just started counts as lost

  bool revoked_keys = false;             ///< revoked keys must be rejected within `revoke_ms` on all machines
  std::int64_t revoke_ms = 5000;         ///< see `revoked_keys`
  std::int64_t report_window_ms = 5000;  ///< length of a usage window
  std::int64_t usage_delay_ms = 10000;   ///< time from a window's end until its usage report is due

  std::string platform_address;  ///< host:port of the platform's API; empty if it has none
  bool reports_usage = false;    ///< the platform accepts usage reports

  /// Address on which this process accepts internal calls.
  std::string InternalAddress() const { return ip + ":" + std::to_string(internal_port); }
  /// Address on which the control process at `seed` accepts internal calls: all machines use the same port.
  std::string InternalAddressOf(const std::string& seed) const;
};

/// Why settings are invalid: one finding for each invalid field.
struct SettingsError {
  /// An invalid field.
  struct Finding {
    std::string path;  ///< such as "timeouts.grace_s"; empty for the file itself
    std::string message;
  };
  std::vector<Finding> findings;

  /// All findings in one line: "timeouts.grace_s: must be above 0; ip: is missing".
  std::string ToString() const;
};

/// Valid settings, or the reasons why they are invalid.
using SettingsResult = std::variant<NodeSettings, SettingsError>;

/// Parses the content of a settings file.
SettingsResult ParseNodeSettings(const std::string& json);
/// Reads a settings file. A file that cannot be read is reported as a finding.
SettingsResult ReadNodeSettings(const std::string& path);

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_NODE_SETTINGS_HPP_
