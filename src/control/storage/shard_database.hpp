// The database of a control process's shards: for each shard the hard state (term and vote), the last
// snapshot and the log after it, in one SQLite file, control.db.
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

/// Reads all tables when it is opened; afterwards it only writes. Must be used by one thread at a time.
class ShardDatabase {
 public:
  /// Opens or creates control.db in the directory and reads all its data. `new_id` becomes the replica id of
  /// a newly created file. An existing file keeps its id and is not written to, so that it can be opened on a
  /// full disk. The file stays locked until this object is destroyed.
  ///
  /// Errors: any StorageErrc. The object must not be used afterwards: a replica must not start with only a
  /// part of the state that it has acknowledged.
  Fallible<void> Open(const std::string& directory, const consensus::ReplicaId& new_id);

  /// The replica id stored in the file.
  const consensus::ReplicaId& replica_id() const { return replica_id_; }
  /// Contents of the file when it was opened, by shard.
  const std::map<int, consensus::StoredState>& stored() const { return stored_; }

  /// Commits all writes in one transaction and returns success once they would survive a power loss. After an
  /// error (any StorageErrc, for example kFull) the writes are not acknowledged, and the same writes may be
  /// committed again.
  std::error_code Commit(const std::vector<ShardWrite>& writes);

 private:
  // Which tables are missing from the file, and whether any existing table has a row.
  struct TableStatus {
    std::vector<std::string> missing;
    bool has_rows = false;
  };

  Fallible<void> OpenFile();
  Fallible<TableStatus> InspectTables();
  Fallible<bool> HasRow(const std::string& query);
  Fallible<void> CreateTables(const consensus::ReplicaId& new_id);
  Fallible<void> PrepareWrites();
  Fallible<void> ReadTables();
  Fallible<void> ReadIdentity();
  Fallible<void> ReadHardStates();
  Fallible<void> ReadSnapshots();
  Fallible<void> ReadEntries();
  // The message is the file name and `detail`.
  Failure MakeFailure(std::error_code code, const std::string& detail) const;
  // For an error of SQLite, with SQLite's own message.
  Failure MakeDatabaseFailure(std::error_code code) const;

  std::error_code WriteAll(const std::vector<ShardWrite>& writes);
  std::error_code Write(const ShardWrite& write);
  std::error_code WriteHardState(int shard, const consensus::HardState& hard_state);
  std::error_code WriteEntries(const ShardWrite& write);
  std::error_code WriteSnapshot(int shard, const consensus::Snapshot& snapshot);

  std::string file_;
  sqlite::Database database_;
  consensus::ReplicaId replica_id_;
  std::map<int, consensus::StoredState> stored_;
  bool has_older_format_ = false;  // the next commit updates the stored format number
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_STORAGE_SHARD_DATABASE_HPP_
