// Servers that operators have taken out, kept in a directory that the processes of an upgrade share: one
// empty file for each, named after the server.
#ifndef VIOLETWING_SIDECAR_DISABLED_SERVERS_HPP_
#define VIOLETWING_SIDECAR_DISABLED_SERVERS_HPP_

#include <set>
#include <string>
#include <utility>

#include "sidecar/file_store.hpp"
#include "sidecar/stored_names.hpp"

namespace violetwing::sidecar {

class DisabledServers {
 public:
  // An empty name means that there is no directory: nothing can be kept then.
  explicit DisabledServers(std::string directory)
      : files_(std::move(directory), stored_names::kDisabledServerPrefix) {}

  // False, and nothing has changed, if it cannot be kept. Adding or removing again is no error.
  bool Add(const std::string& server) { return files_.Put(server, ""); }
  bool Remove(const std::string& server) { return files_.Remove(server); }

  // Looks what is there. False, and `servers` is as it was, if the directory cannot be read.
  bool Read(std::set<std::string>& servers);

 private:
  FileStore files_;
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_DISABLED_SERVERS_HPP_
