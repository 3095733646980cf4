// The sidecar's configuration at its start: environment variables and the JSON file.
#ifndef VIOLETWING_SIDECAR_CONFIG_HPP_
#define VIOLETWING_SIDECAR_CONFIG_HPP_

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "bench_adapter/wire.hpp"
#include "sidecar/discovery.hpp"
#include "sidecar/protocol.hpp"

namespace violetwing::sidecar {

/// An invalid configuration. The text is one line for operators.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// The configuration of a sidecar process.
struct Config {
  std::string name;
  Tcp::endpoint listen;
  std::vector<Tcp::endpoint> discovery;  // addresses of the registries; the first is tried first
  bool stores_list = false;              // in `state_directory`; set if `further_discovery` is configured
  std::optional<Tcp::endpoint> admin;    // address for operators; nullopt = no such listener
  std::optional<int> passed_socket;  // an inherited listening socket for clients, used in place of `listen`
  std::string state_directory;       // for files that outlive the process; empty = none are stored
  std::uint64_t seed = 0;
  std::size_t max_descriptors = 1024;  // file descriptors that the process may have open
  std::size_t memory_mb = 192;
  bench_adapter::WireSettings wire;
  EndpointList initial_list;      // the last list of servers that this sidecar is known to have had
  std::string initial_list_json;  // the same as JSON; empty if the list is not stored
};

/// The settings as the path=value pairs that the bench adapter parses, so that both use one mapping of names.
std::string Flatten(const nlohmann::json& settings);

/// `name` as the wire format writes it: with underscores in place of spaces and commas.
std::string WireName(std::string_view name);

/// Looks up an environment variable; returns null if it is not set.
using Environment = std::function<const char*(const char*)>;

/// Parses a configuration. Addresses in the environment override those in `text`. Throws ConfigError.
Config ParseConfig(
    const std::string& text, const Environment& environment = [](const char*) { return nullptr; });

/// Reads the file that EDGE_CONFIG names. Throws ConfigError if it cannot be read or is invalid.
Config LoadConfig(const Environment& environment);
/// Reads the configuration again in a running process. Ignores EDGE_DISCOVERY, as the environment still has
/// the address of the start, and uses the address in the file. Also ignores EDGE_PASSED_SOCKET.
Config ReloadConfig(const Environment& environment);

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_CONFIG_HPP_
