// Servers that operators have taken out, kept in a directory that the processes of an upgrade share: one
// empty file for each, named after the server, so that it is made and removed whole.
#ifndef MERLINRUN_NET_BANS_HPP_
#define MERLINRUN_NET_BANS_HPP_

#include <set>
#include <string>

namespace merlinrun::net {

class Bans {
 public:
  // An empty name means that there is no directory: nothing can be kept then.
  explicit Bans(std::string directory) : directory_(std::move(directory)) {}

  // False, and nothing has changed, if it cannot be kept. Adding or removing again is no error.
  bool Add(const std::string& server);
  bool Remove(const std::string& server);

  // Looks what is there. False, and `servers` is as it was, if the directory cannot be read. Files that are
  // no bans are passed over; those that look like one are named in the log once.
  bool Read(std::set<std::string>& servers);

 private:
  std::string Path(const std::string& server) const;

  const std::string directory_;
  std::set<std::string> complained_;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_BANS_HPP_
