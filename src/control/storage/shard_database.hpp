// The tables in which a control process stores its shards: for each shard the hard state (term and vote), the
// last snapshot and the log after it, in one SQLite file, control.db.
#ifndef VIOLETWING_CONTROL_STORAGE_SHARD_DATABASE_HPP_
#define VIOLETWING_CONTROL_STORAGE_SHARD_DATABASE_HPP_

#include <map>
#include <string>
#include <system_error>
#include <vector>

#include "common/failure.hpp"
#include "control/consensus/replica.hpp"
#include "control/storage/shard_write.hpp"
#include "control/storage/sqlite.hpp"

namespace violetwing {

/// Reads the tables when it is opened and then only writes. It is used by one thread at a time.
class ShardDatabase {
 public:
  /// Opens or creates control.db in the directory and reads it whole. `new_id` becomes the replica id of a
  /// file that is created now; an existing file keeps its own and is not written to, so that it opens on a
  /// full disk. The file stays locked until this object ends.
  ///
  /// Errors: any StorageErrc. The object is then of no further use: a replica must not start with a part of
  /// what it has promised.
  Fallible<void> Open(const std::string& directory, const consensus::ReplicaId& new_id);

  /// The id that stays with the file.
  const consensus::ReplicaId& replica_id() const { return replica_id_; }
  /// What the file held when it was opened, by shard.
  const std::map<int, consensus::StoredState>& stored() const { return stored_; }

  /// Carries out all writes in one transaction: success once they would survive a loss of power. After an
  /// error (any StorageErrc, for instance kFull) none of them was acknowledged to be stored, and the same
  /// writes may be committed again.
  std::error_code Commit(const std::vector<ShardWrite>& writes);

 private:
  // Which tables the file has, and whether any of them has a row.
  struct TablesFound {
    std::vector<std::string> missing;
    bool has_rows = false;
  };

  Fallible<void> OpenFile();
  Fallible<TablesFound> FindTables();
  Fallible<bool> HasRow(const std::string& query);
  Fallible<void> CreateTables(const consensus::ReplicaId& new_id);
  Fallible<void> PrepareWrites();
  Fallible<void> ReadTables();
  Fallible<void> ReadIdentity();
  Fallible<void> ReadHardStates();
  Fallible<void> ReadSnapshots();
  Fallible<void> ReadEntries();
  // With the file's name; `detail` names what could not be done, for SQLite's errors also SQLite's reason.
  Failure Fail(std::error_code code, const std::string& detail) const;
  Failure FailAccess(std::error_code code) const;

  std::error_code WriteAll(const std::vector<ShardWrite>& writes);
  std::error_code Write(const ShardWrite& write);
  std::error_code WriteHardState(int shard, const consensus::HardState& hard);
  std::error_code WriteEntries(const ShardWrite& write);
  std::error_code WriteSnapshot(int shard, const consensus::Snapshot& snapshot);

  std::string file_;
  sqlite::Database database_;
  consensus::ReplicaId replica_id_;
  std::map<int, consensus::StoredState> stored_;
  bool has_older_format_ = false;  // the next commit records the present one
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_STORAGE_SHARD_DATABASE_HPP_
