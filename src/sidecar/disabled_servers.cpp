#include "sidecar/disabled_servers.hpp"

namespace violetwing::sidecar {

bool DisabledServers::Read(std::set<std::string>& servers) {
  std::map<std::string, std::string> found;
  if (!files_.Read(found)) return false;
  servers.clear();
  for (const auto& [server, text] : found) servers.insert(server);
  return true;
}

}  // namespace violetwing::sidecar
