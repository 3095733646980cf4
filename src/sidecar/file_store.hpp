// What operators have said, kept in a directory that the processes of an upgrade share: one file for each
// name, made and removed whole.
#ifndef VIOLETWING_SIDECAR_FILE_STORE_HPP_
#define VIOLETWING_SIDECAR_FILE_STORE_HPP_

#include <map>
#include <set>
#include <string>

namespace violetwing::sidecar {

class FileStore {
 public:
  // An empty directory means that there is none: nothing can be kept then.
  FileStore(std::string directory, std::string prefix)
      : directory_(std::move(directory)), prefix_(std::move(prefix)) {}

  // False, and nothing has changed, if it cannot be kept. Keeping or removing again is no error.
  bool Put(const std::string& name, const std::string& text);
  bool Remove(const std::string& name);

  // Texts by name. False, and `found` is as it was, if the directory cannot be read. Other files are passed
  // over; those that look like one of these are named in the log once.
  bool Read(std::map<std::string, std::string>& found);

 private:
  bool MayKeep(const std::string& name) const;
  std::string Path(const std::string& name) const;

  const std::string directory_;
  const std::string prefix_;
  std::set<std::string> complained_;
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_FILE_STORE_HPP_
