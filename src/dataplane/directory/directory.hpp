// A sidecar's snapshot of the system: configuration, servers, and its own index among the sidecars. A core:
// it holds no clock, socket, file or thread.
#ifndef VIOLETWING_DATAPLANE_DIRECTORY_DIRECTORY_HPP_
#define VIOLETWING_DATAPLANE_DIRECTORY_DIRECTORY_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/configuration/reader.hpp"
#include "dataplane/directory/api_key_index.hpp"
#include "dataplane/directory/route_table.hpp"
#include "messages/instances.hpp"

namespace violetwing {

/// Immutable: a change makes a new directory, which replaces the old one as a whole. Requests in flight keep
/// the one that they began with. Pointers that it returns are valid as long as it lives.
class Directory {
 public:
  /// Without configuration and servers, as after the start.
  Directory() = default;
  /// `configuration` may be null. `sidecar_index`: position of this sidecar, from 0, among `sidecar_count`.
  Directory(const std::shared_ptr<const configuration::Configuration>& configuration,
            const std::map<std::string, Instance>& instances, int sidecar_index, int sidecar_count);
  /// The configuration and routes of `previous`, which are shared with it, with other servers.
  Directory(const Directory& previous, const std::map<std::string, Instance>& instances, int sidecar_index,
            int sidecar_count);

  /// False until the control plane has sent one.
  bool HasConfiguration() const { return configuration_ != nullptr; }
  /// Version of the configuration; 0 without one.
  std::int64_t version() const { return configuration_ == nullptr ? 0 : configuration_->version; }
  /// Limits of the configuration; the defaults without one.
  const configuration::Limits& limits() const;
  /// Routes of the configuration; empty without one.
  const RouteTable& routes() const { return *routes_; }
  /// API keys of the configuration; none are required without one.
  const ApiKeyIndex& api_keys() const { return *api_keys_; }
  /// Null for an unknown name.
  const configuration::Backend* FindBackend(const std::string& name) const;

  /// Ready servers of a backend, sorted by id.
  const std::vector<const Instance*>& Servers(const std::string& backend) const;
  /// Of these, those that have loaded a model, and its adapter unless that is empty.
  std::vector<const Instance*> ServersWithModel(const std::string& backend, const std::string& model,
                                                const std::string& adapter) const;
  /// An instance in any phase; null for an unknown id.
  const Instance* Find(const std::string& id) const;

  /// Number of this sidecar, from 0.
  int sidecar_index() const { return sidecar_index_; }
  /// At least 1.
  int sidecar_count() const { return sidecar_count_; }

 private:
  Directory(std::shared_ptr<const configuration::Configuration> configuration,
            std::shared_ptr<const RouteTable> routes, std::shared_ptr<const ApiKeyIndex> api_keys,
            const std::map<std::string, Instance>& instances, int sidecar_index, int sidecar_count);

  std::shared_ptr<const configuration::Configuration> configuration_;
  std::shared_ptr<const RouteTable> routes_ = std::make_shared<const RouteTable>();
  std::shared_ptr<const ApiKeyIndex> api_keys_ = std::make_shared<const ApiKeyIndex>();
  std::map<std::string, Instance> instances_;
  std::map<std::string, std::vector<const Instance*>> servers_;  // by backend
  int sidecar_index_ = 0;
  int sidecar_count_ = 1;
};

using DirectoryPtr = std::shared_ptr<const Directory>;

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_DIRECTORY_DIRECTORY_HPP_
