#include "dataplane/routing/directory.hpp"

#include <algorithm>

namespace violetwing {
namespace {

std::string HostKey(std::string_view host) {
  host = host.substr(0, host.find(':'));
  std::string key(host);
  std::transform(key.begin(), key.end(), key.begin(),
                 [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
  return key;
}

bool Holds(const Instance& instance, const std::string& model, const std::string& adapter) {
  for (const HeldModel& held : instance.models) {
    if (held.name != model) continue;
    return adapter.empty() ||
           std::find(held.adapters.begin(), held.adapters.end(), adapter) != held.adapters.end();
  }
  return false;
}

std::shared_ptr<const RouteTable> TableOf(const configuration::Configuration* configuration) {
  return configuration == nullptr ? std::make_shared<const RouteTable>()
                                  : std::make_shared<const RouteTable>(*configuration);
}

}  // namespace

RouteTable::RouteTable(const configuration::Configuration& configuration) {
  for (const configuration::Route& route : configuration.routes)
    by_host_[HostKey(route.hostname)].push_back(&route);
  for (auto& [host, routes] : by_host_)
    std::stable_sort(routes.begin(), routes.end(), [](const auto* a, const auto* b) {
      return a->path_prefix.size() > b->path_prefix.size();
    });
}

const configuration::Route* RouteTable::Match(std::string_view host, std::string_view path) const {
  const auto it = by_host_.find(HostKey(host));
  if (it == by_host_.end()) return nullptr;
  path = path.substr(0, path.find('?'));
  for (const configuration::Route* route : it->second)
    if (path.substr(0, route->path_prefix.size()) == route->path_prefix) return route;
  return nullptr;
}

Directory::Directory(std::shared_ptr<const configuration::Configuration> configuration,
                     std::shared_ptr<const RouteTable> routes,
                     const std::map<std::string, Instance>& instances, int number, int sidecars)
    : configuration_(std::move(configuration)),
      routes_(std::move(routes)),
      instances_(instances),
      number_(number),
      sidecars_(std::max(sidecars, 1)) {
  for (const auto& [id, instance] : instances_)
    if (instance.phase == Phase::kReady) servers_[instance.backend].push_back(&instance);
}

Directory::Directory(const std::shared_ptr<const configuration::Configuration>& configuration,
                     const std::map<std::string, Instance>& instances, int number, int sidecars)
    : Directory(configuration, TableOf(configuration.get()), instances, number, sidecars) {}

Directory::Directory(const Directory& before, const std::map<std::string, Instance>& instances, int number,
                     int sidecars)
    : Directory(before.configuration_, before.routes_, instances, number, sidecars) {}

const configuration::Limits& Directory::limits() const {
  static const configuration::Limits kDefaults;
  return configuration_ == nullptr ? kDefaults : configuration_->limits;
}

const configuration::Backend* Directory::FindBackend(const std::string& name) const {
  if (configuration_ == nullptr) return nullptr;
  for (const configuration::Backend& backend : configuration_->backends)
    if (backend.name == name) return &backend;
  return nullptr;
}

const std::vector<const Instance*>& Directory::Servers(const std::string& backend) const {
  static const std::vector<const Instance*> kNone;
  const auto it = servers_.find(backend);
  return it == servers_.end() ? kNone : it->second;
}

std::vector<const Instance*> Directory::ServersWithModel(const std::string& backend, const std::string& model,
                                                         const std::string& adapter) const {
  std::vector<const Instance*> out;
  for (const Instance* instance : Servers(backend))
    if (Holds(*instance, model, adapter)) out.push_back(instance);
  return out;
}

const Instance* Directory::Find(const std::string& id) const {
  const auto it = instances_.find(id);
  return it == instances_.end() ? nullptr : &it->second;
}

}  // namespace violetwing
