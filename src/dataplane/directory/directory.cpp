#include "dataplane/directory/directory.hpp"

#include <algorithm>

namespace violetwing {
namespace {

bool HasModel(const Instance& instance, const std::string& model, const std::string& adapter) {
  for (const HeldModel& loaded : instance.models) {
    if (loaded.name != model) continue;
    return adapter.empty() ||
           std::find(loaded.adapters.begin(), loaded.adapters.end(), adapter) != loaded.adapters.end();
  }
  return false;
}

// Builds an index of the configuration; an empty one if that is null.
template <class Index>
std::shared_ptr<const Index> MakeIndex(const configuration::Configuration* configuration) {
  return configuration == nullptr ? std::make_shared<const Index>()
                                  : std::make_shared<const Index>(*configuration);
}

}  // namespace

Directory::Directory(std::shared_ptr<const configuration::Configuration> configuration,
                     std::shared_ptr<const RouteTable> routes, std::shared_ptr<const ApiKeyIndex> api_keys,
                     const std::map<std::string, Instance>& instances, int sidecar_index, int sidecar_count)
    : configuration_(std::move(configuration)),
      routes_(std::move(routes)),
      api_keys_(std::move(api_keys)),
      instances_(instances),
      sidecar_index_(sidecar_index),
      sidecar_count_(std::max(sidecar_count, 1)) {
  for (const auto& [id, instance] : instances_)
    if (instance.phase == Phase::kReady) servers_[instance.backend].push_back(&instance);
}

Directory::Directory(const std::shared_ptr<const configuration::Configuration>& configuration,
                     const std::map<std::string, Instance>& instances, int sidecar_index, int sidecar_count)
    : Directory(configuration, MakeIndex<RouteTable>(configuration.get()),
                MakeIndex<ApiKeyIndex>(configuration.get()), instances, sidecar_index, sidecar_count) {}

Directory::Directory(const Directory& previous, const std::map<std::string, Instance>& instances,
                     int sidecar_index, int sidecar_count)
    : Directory(previous.configuration_, previous.routes_, previous.api_keys_, instances, sidecar_index,
                sidecar_count) {}

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
  std::vector<const Instance*> servers;
  for (const Instance* instance : Servers(backend))
    if (HasModel(*instance, model, adapter)) servers.push_back(instance);
  return servers;
}

const Instance* Directory::Find(const std::string& id) const {
  const auto it = instances_.find(id);
  return it == instances_.end() ? nullptr : &it->second;
}

}  // namespace violetwing
