// A sidecar's snapshot of the system: configuration, servers, and its own index among the sidecars. Sans-I/O:
// holds no clock, socket, file or thread.
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

/// Immutable: each change produces a new directory that replaces the old one, while requests in flight keep
/// the one that they started with. Returned pointers are valid as long as the directory lives.
class Directory {
 public:
  /// A directory without configuration and servers, as at startup.
  Directory() = default;
  /// `configuration` may be null. `sidecar_index`: position of this sidecar, from 0, among `sidecar_count`.
  Directory(const std::shared_ptr<const configuration::Configuration>& configuration,
            const std::map<std::string, Instance>& instances, int sidecar_index, int sidecar_count);
  /// A directory with other servers that shares the configuration, routes and API keys of `previous`.
  Directory(const Directory& previous, const std::map<std::string, Instance>& instances, int sidecar_index,
            int sidecar_count);

  /// False until the control plane has sent a configuration.
  bool HasConfiguration() const { return configuration_ != nullptr; }
  /// Version of the configuration; 0 if there is none.
  std::int64_t version() const { return configuration_ == nullptr ? 0 : configuration_->version; }
  /// Limits of the configuration; the defaults if there is none.
  const configuration::Limits& limits() const;
  /// Routes of the configuration; empty if there is none.
  const RouteTable& routes() const { return *routes_; }
  /// API keys of the configuration; requests need no key if there is none.
  const ApiKeyIndex& api_keys() const { return *api_keys_; }
  /// Returns the backend of that name, or null.
  const configuration::Backend* FindBackend(const std::string& name) const;

  /// Ready servers of a backend, sorted by id.
  const std::vector<const Instance*>& Servers(const std::string& backend) const;
  /// Ready servers of a backend that have loaded `model`, and its `adapter` unless that is empty.
  std::vector<const Instance*> ServersWithModel(const std::string& backend, const std::string& model,
                                                const std::string& adapter) const;
  /// Returns the instance with that id, in any phase, or null.
  const Instance* Find(const std::string& id) const;

  /// Index of this sidecar among all sidecars, from 0.
  int sidecar_index() const { return sidecar_index_; }
  /// Number of sidecars, at least 1.
  int sidecar_count() const { return sidecar_count_; }

 private:
  Directory(std::shared_ptr<const configuration::Configuration> configuration,
            std::shared_ptr<const RouteTable> routes, std::shared_ptr<const ApiKeyIndex> api_keys,
            const std::map<std::string, Instance>& instances, int sidecar_index, int sidecar_count);

  std::shared_ptr<const configuration::Configuration> configuration_;
  std::shared_ptr<const RouteTable> routes_ = std::make_shared<const RouteTable>();
  std::shared_ptr<const ApiKeyIndex> api_keys_ = std::make_shared<const ApiKeyIndex>();
  std::map<std::string, Instance> instances_;
  std::map<std::string, std::vector<const Instance*>> servers_;  // ready servers by backend
  int sidecar_index_ = 0;
  int sidecar_count_ = 1;
};

using DirectoryPtr = std::shared_ptr<const Directory>;

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_DIRECTORY_DIRECTORY_HPP_
