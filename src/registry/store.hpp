// The registry on disk: SQLite in WAL mode, synchronous, one transaction a version. What Commit has returned
// from is there after any crash; what it has thrown from is not there at all.
#ifndef VIOLETWING_REGISTRY_STORE_HPP_
#define VIOLETWING_REGISTRY_STORE_HPP_

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include "registry/core.hpp"

struct sqlite3;

namespace violetwing::registry {

class StoreError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Store {
 public:
  static constexpr int kSchema = 1;  // a store of a later one is a newer program's, and is left alone

  // Opens a store, or makes one of this epoch; `epoch` 0 takes that of the store, and 1 for a new one. Nobody
  // else can open it meanwhile. Throws StoreError with one line.
  Store(const std::string& file, std::int64_t epoch);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  Core::State Load();
  // Throws StoreError if it cannot be made durable; then nothing of it is stored.
  void Commit(const Change& change);
  // Whether this registry follows others when it starts again; nothing for a store that was never told.
  void SetRole(bool follows);
  std::optional<bool> follows() const;
  std::int64_t began_from() const;  // the version of the epoch before that this one began with; 0 = unknown
  // A copy that is whole and of one version, while the store is in use. The file must not be there.
  void Snapshot(const std::string& file);

  // A store from a snapshot, of an epoch above that of the snapshot. The file must not be there.
  static void Restore(const std::string& snapshot, const std::string& file, std::int64_t epoch);
  // Whether a store that nobody uses is whole: each page, each entry, each version. Throws StoreError with
  // the first thing that is not.
  static Core::State Verify(const std::string& file);

 private:
  struct Close {
    void operator()(sqlite3* database) const;
  };
  using Database = std::unique_ptr<sqlite3, Close>;

  explicit Store(Database database) : database_(std::move(database)) {}
  static Database Open(const std::string& file, int flags);
  void Migrate(std::int64_t epoch);
  void ForgetKeys(std::size_t added);

  Database database_;
  std::size_t keys_ = 0;  // remembered; 0 = not counted yet
};

}  // namespace violetwing::registry

#endif  // VIOLETWING_REGISTRY_STORE_HPP_
