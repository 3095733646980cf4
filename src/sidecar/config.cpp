#include "sidecar/config.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace violetwing::sidecar {
namespace {

using Json = nlohmann::json;

constexpr double kMaxExactInteger = 9007199254740992.0;  // 2^53: doubles represent all integers below it

std::string ScalarText(const Json& value) {
  if (value.is_string()) return WireName(value.get<std::string>());
  if (value.is_number_float()) {  // integers such as 250000.0 are written without a fraction
    const double number = value.get<double>();
    if (std::trunc(number) == number && std::abs(number) < kMaxExactInteger)
      return std::to_string(static_cast<std::int64_t>(number));
  }
  return value.dump();
}

void FlattenInto(const Json& value, const std::string& path, std::string& out);

void FlattenList(const Json& list, const std::string& path, std::string& out) {
  const bool objects =
      std::any_of(list.begin(), list.end(), [](const Json& item) { return item.is_structured(); });
  if (!objects) {
    std::string joined;
    for (const Json& item : list) joined += (joined.empty() ? "" : ",") + ScalarText(item);
    out += path + "=" + joined + " ";
    return;
  }
  out += path + ".count=" + std::to_string(list.size()) + " ";
  for (std::size_t i = 0; i < list.size(); ++i) FlattenInto(list[i], path + "." + std::to_string(i), out);
}

void FlattenInto(const Json& value, const std::string& path, std::string& out) {
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items())
      FlattenInto(inner, path.empty() ? WireName(key) : path + "." + WireName(key), out);
  } else if (value.is_array()) {
    FlattenList(value, path, out);
  } else if (!value.is_null()) {
    out += path + "=" + ScalarText(value) + " ";
  }
}

std::string Variable(const Environment& environment, const char* name) {
  const char* const text = environment(name);
  return text == nullptr ? "" : text;
}

Tcp::endpoint Address(const Json& json, const char* key, const std::string& from_environment) {
  const std::string text = from_environment.empty() ? json.at(key).get<std::string>() : from_environment;
  const auto address = ParseAddress(text);
  if (!address) throw ConfigError(std::string(key) + " '" + text + "': not an address with a port");
  return *address;
}

// The platform's own address comes first. `further_discovery` also enables the copy of the list in TMPDIR,
// for a start while no registry is up; an empty `further_discovery` enables the copy alone.
void ReadDiscovery(const Json& json, const std::string& from_environment, Config& config) {
  config.discovery = {Address(json, "discovery", from_environment)};
  if (!json.contains("further_discovery")) return;
  config.stores_list = true;
  for (const Json& entry : json.at("further_discovery")) {
    const auto address = ParseAddress(entry.get<std::string>());
    if (!address) throw ConfigError("further_discovery " + entry.dump() + ": not an address with a port");
    if (std::find(config.discovery.begin(), config.discovery.end(), *address) == config.discovery.end())
      config.discovery.push_back(*address);
  }
}

std::uint64_t Seed(const Json& json) {
  const std::string text = json.value("seed", std::string("0"));
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size())
    throw ConfigError("seed '" + text + "': not a 64-bit number in hex");
  return seed;
}

EndpointList InitialList(const Json& json, const bench_adapter::WireSettings& names) {
  if (!json.contains("known") || json.at("known").is_null()) return {};
  std::string error;
  const auto list = ParseList(json.at("known"), names, error);
  if (!list) throw ConfigError("known: " + error);
  return *list;
}

int SocketOption(int socket, int option) {
  int value = 0;
  socklen_t size = sizeof value;
  return ::getsockopt(socket, SOL_SOCKET, option, &value, &size) == 0 ? value : -1;
}

std::optional<int> PassedSocket(const std::string& text) {
  if (text.empty()) return std::nullopt;
  int socket = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), socket);
  const bool number = error == std::errc() && end == text.data() + text.size() && socket >= 0;
  if (!number || SocketOption(socket, SO_ACCEPTCONN) != 1 || SocketOption(socket, SO_DOMAIN) != AF_INET ||
      SocketOption(socket, SO_PROTOCOL) != IPPROTO_TCP)
    throw ConfigError("EDGE_PASSED_SOCKET '" + text + "': not a listening TCP socket over IPv4");
  return socket;
}

Config FromJson(const Json& json, const Environment& environment) {
  Config config;
  config.name = json.value("name", std::string());
  config.listen = Address(json, "listen", Variable(environment, "EDGE_LISTEN"));
  ReadDiscovery(json, Variable(environment, "EDGE_DISCOVERY"), config);
  const std::string admin = Variable(environment, "EDGE_ADMIN");
  if (!admin.empty() || (json.contains("admin") && !json.at("admin").is_null()))
    config.admin = Address(json, "admin", admin);
  config.passed_socket = PassedSocket(Variable(environment, "EDGE_PASSED_SOCKET"));
  config.state_directory = Variable(environment, "TMPDIR");
  config.seed = Seed(json);
  if (json.contains("limits")) {
    const Json& limits = json.at("limits");
    config.max_descriptors = limits.value("sockets", static_cast<std::uint64_t>(config.max_descriptors));
    config.memory_mb = limits.value("memory_mb", static_cast<std::uint64_t>(config.memory_mb));
  }
  if (config.max_descriptors < 64) throw ConfigError("limits.sockets: must be at least 64");
  if (config.memory_mb < 16) throw ConfigError("limits.memory_mb: must be at least 16");
  config.wire = bench_adapter::ParseSettings(Flatten(json.at("settings")));
  // Clients use at most a third of the descriptors, with one request per connection.
  const auto connections = static_cast<std::int64_t>(config.max_descriptors / 3);
  std::int64_t& max_open_requests = config.wire.settings.max_open_requests;
  max_open_requests = max_open_requests > 0 ? std::min(max_open_requests, connections) : connections;
  config.initial_list = InitialList(json, config.wire);
  if (config.stores_list && !config.initial_list.endpoints.empty())
    config.initial_list_json = json.at("known").dump();
  return config;
}

std::string OneLine(std::string text) {
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text;
}

}  // namespace

std::string WireName(std::string_view name) {
  std::string out(name);
  std::replace_if(
      out.begin(), out.end(), [](char c) { return c == ' ' || c == ','; }, '_');
  return out;
}

std::string Flatten(const Json& settings) {
  std::string out;
  FlattenInto(settings, "", out);
  if (!out.empty()) out.pop_back();  // the trailing space
  return out;
}

Config ParseConfig(const std::string& text, const Environment& environment) {
  try {
    return FromJson(Json::parse(text), environment);
  } catch (const Json::exception& error) {
    throw ConfigError(OneLine(error.what()));
  } catch (const bench_adapter::WireError& error) {
    throw ConfigError(OneLine(std::string("settings: ") + error.what()));
  }
}

Config LoadConfig(const Environment& environment) {
  const std::string path = Variable(environment, "EDGE_CONFIG");
  if (path.empty()) throw ConfigError("EDGE_CONFIG: not set");
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!(text << file.rdbuf())) throw ConfigError(path + ": cannot be read");
  return ParseConfig(text.str(), environment);
}

Config ReloadConfig(const Environment& environment) {
  return LoadConfig([&](const char* name) {
    // The passed socket may have been closed since the start, and its descriptor number reused.
    const std::string_view variable(name);
    return variable == "EDGE_DISCOVERY" || variable == "EDGE_PASSED_SOCKET" ? nullptr : environment(name);
  });
}

}  // namespace violetwing::sidecar
