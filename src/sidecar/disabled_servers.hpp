// The servers that operators have disabled, stored as one empty file per server in a directory that the old
// and the new process of an upgrade share.
#ifndef VIOLETWING_SIDECAR_DISABLED_SERVERS_HPP_
#define VIOLETWING_SIDECAR_DISABLED_SERVERS_HPP_

#include <set>
#include <string>
#include <utility>

#include "sidecar/file_store.hpp"
#include "sidecar/stored_names.hpp"

namespace violetwing::sidecar {

/// The set of disabled servers on disk.
class DisabledServers {
 public:
  /// If `directory` is empty, nothing can be stored and every call fails.
  explicit DisabledServers(std::string directory)
      : files_(std::move(directory), stored_names::kDisabledServerPrefix) {}

  /// Return false and change nothing if the file cannot be written or removed. Both are idempotent.
  bool Add(const std::string& server) { return files_.Put(server, ""); }
  bool Remove(const std::string& server) { return files_.Remove(server); }

  /// Reads the stored set into `servers`. Returns false and leaves `servers` unchanged if the directory
  /// cannot be read.
  bool Read(std::set<std::string>& servers);

 private:
  FileStore files_;
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_DISABLED_SERVERS_HPP_
