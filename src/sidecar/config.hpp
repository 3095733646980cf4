// What the sidecar is told at its start: the environment and the JSON configuration.
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

class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;
  Tcp::endpoint listen;
  std::vector<Tcp::endpoint> discovery;  // where the list is told; asked in turn, the first first
  bool stores_list = false;              // in `state_directory`; where further addresses are configured
  std::optional<Tcp::endpoint> admin;    // the operators' address; none = no such listener
  std::optional<int> passed_socket;      // listens already: clients come here and not to `listen`
  std::string state_directory;           // what outlives the process in an upgrade; empty = nothing does
  std::uint64_t seed = 0;
  std::size_t max_descriptors = 1024;  // descriptors that the process may hold
  std::size_t memory_mb = 192;
  bench_adapter::WireSettings wire;
  EndpointList initial_list;      // the list as this sidecar last had it
  std::string initial_list_json;  // the same as it stands in the configuration; empty where no copy is kept
};

// The settings in the form that the adapter reads, path=value pairs: one mapping of names serves both.
std::string Flatten(const nlohmann::json& settings);

// As the wire writes names: no spaces and no commas.
std::string WireName(std::string_view name);

// Looks up a variable; null if it is not set.
using Environment = std::function<const char*(const char*)>;

// Reads a configuration. What the environment says of addresses goes before what the text says.
Config ParseConfig(
    const std::string& text, const Environment& environment = [](const char*) { return nullptr; });

// Reads EDGE_CONFIG and what it names. Throws ConfigError, with one plain line, if anything is amiss.
Config LoadConfig(const Environment& environment);
// The same once it runs: the address of discovery is the file's, as the environment keeps that of the start.
Config ReloadConfig(const Environment& environment);

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_CONFIG_HPP_
