// What a sidecar knows of the system at one time: the configuration, the servers and its own number.
// Immutable: a change makes a new one, which is swapped in whole.
#ifndef VIOLETWING_DATAPLANE_ROUTING_DIRECTORY_HPP_
#define VIOLETWING_DATAPLANE_ROUTING_DIRECTORY_HPP_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "control/configuration/reader.hpp"
#include "messages/instances.hpp"

namespace violetwing {

// Routes by host and path, of a configuration that outlives it.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(const configuration::Configuration& configuration);
  // The route of that host whose prefix begins the path and is longest; null if there is none. A port in the
  // host is passed over; letters of either case are the same in it.
  const configuration::Route* Match(std::string_view host, std::string_view path) const;

 private:
  // By host, the longest prefixes first.
  std::map<std::string, std::vector<const configuration::Route*>, std::less<>> by_host_;
};

class Directory {
 public:
  Directory() = default;
  Directory(const std::shared_ptr<const configuration::Configuration>& configuration,
            const std::map<std::string, Instance>& instances, int number, int sidecars);
  // What `before` knows, with other servers: its routes need not be sorted again.
  Directory(const Directory& before, const std::map<std::string, Instance>& instances, int number,
            int sidecars);

  bool HasConfiguration() const { return configuration_ != nullptr; }
  std::int64_t version() const { return configuration_ == nullptr ? 0 : configuration_->version; }
  const configuration::Limits& limits() const;
  const RouteTable& routes() const { return *routes_; }
  const configuration::Backend* FindBackend(const std::string& name) const;
  // Servers of a service that take requests, sorted by id. They live as long as this directory.
  const std::vector<const Instance*>& Servers(const std::string& backend) const;
  // Of these, those that hold a model, and the adapter of it unless that is empty.
  std::vector<const Instance*> ServersWithModel(const std::string& backend, const std::string& model,
                                                const std::string& adapter) const;
  const Instance* Find(const std::string& id) const;
  int number() const { return number_; }
  int sidecars() const { return sidecars_; }

 private:
  Directory(std::shared_ptr<const configuration::Configuration> configuration,
            std::shared_ptr<const RouteTable> routes, const std::map<std::string, Instance>& instances,
            int number, int sidecars);

  std::shared_ptr<const configuration::Configuration> configuration_;
  std::shared_ptr<const RouteTable> routes_ = std::make_shared<const RouteTable>();
  std::map<std::string, Instance> instances_;
  std::map<std::string, std::vector<const Instance*>> servers_;
  int number_ = 0;
  int sidecars_ = 1;
};

using DirectoryPtr = std::shared_ptr<const Directory>;

}  // namespace violetwing

#endif  // VIOLETWING_DATAPLANE_ROUTING_DIRECTORY_HPP_
