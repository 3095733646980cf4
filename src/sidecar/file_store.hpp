// Operators' orders on disk, in a directory that the old and the new process of an upgrade share: one file
// per name, replaced and removed atomically.
#ifndef VIOLETWING_SIDECAR_FILE_STORE_HPP_
#define VIOLETWING_SIDECAR_FILE_STORE_HPP_

#include <map>
#include <set>
#include <string>

namespace violetwing::sidecar {

/// A map from names to texts, stored as files whose names are a prefix and the name in hex.
class FileStore {
 public:
  /// If `directory` is empty, nothing can be stored and every call fails.
  FileStore(std::string directory, std::string prefix)
      : directory_(std::move(directory)), prefix_(std::move(prefix)) {}

  /// Return false and change nothing if the file cannot be written or removed. Both are idempotent.
  bool Put(const std::string& name, const std::string& text);
  bool Remove(const std::string& name);

  /// Reads all texts by name. Returns false and leaves `found` unchanged if the directory cannot be read.
  /// Skips unrelated files; logs each entry once that has the prefix but an invalid name or type.
  bool Read(std::map<std::string, std::string>& found);

 private:
  bool CanStore(const std::string& name) const;
  std::string Path(const std::string& name) const;

  const std::string directory_;
  const std::string prefix_;
  std::set<std::string> logged_;
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_FILE_STORE_HPP_
