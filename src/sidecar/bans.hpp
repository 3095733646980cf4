// Servers that operators have taken out, kept in a directory that the processes of an upgrade share: one
// empty file for each, named after the server.
#ifndef VIOLETWING_SIDECAR_BANS_HPP_
#define VIOLETWING_SIDECAR_BANS_HPP_

#include <set>
#include <string>
#include <utility>

#include "sidecar/kept_files.hpp"
#include "sidecar/stored_names.hpp"

namespace violetwing::sidecar {

class Bans {
 public:
  // An empty name means that there is no directory: nothing can be kept then.
  explicit Bans(std::string directory) : files_(std::move(directory), stored_names::kBanPrefix) {}

  // False, and nothing has changed, if it cannot be kept. Adding or removing again is no error.
  bool Add(const std::string& server) { return files_.Put(server, ""); }
  bool Remove(const std::string& server) { return files_.Remove(server); }

  // Looks what is there. False, and `servers` is as it was, if the directory cannot be read.
  bool Read(std::set<std::string>& servers);

 private:
  KeptFiles files_;
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_BANS_HPP_
