#include "dataplane/directory/route_table.hpp"

#include <algorithm>

namespace violetwing {
namespace {

// The host name in lower case without its port. Independent of the locale.
std::string HostKey(std::string_view host) {
  host = host.substr(0, host.find(':'));
  std::string key(host);
  std::transform(key.begin(), key.end(), key.begin(),
                 [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
  return key;
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

}  // namespace violetwing
