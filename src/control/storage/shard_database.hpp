// The tables in which a control process stores its shards: for each shard the hard state (term and vote), the
// last snapshot and the log after it, in one SQLite file, control.db.
#ifndef VIOLETWING_CONTROL_STORAGE_SHARD_DATABASE_HPP_
#define VIOLETWING_CONTROL_STORAGE_SHARD_DATABASE_HPP_

#include <map>
#include <string>
#include <system_error>
#include <vector>

#include "control/consensus/replica.hpp"
#include "control/storage/shard_write.hpp"
#include "control/storage/sqlite.hpp"

namespace violetwing {

/// Reads the tables when it is opened and then only writes. It is used by one thread at a time.
class ShardDatabase {
 public:
  /// Opens or creates control.db in the directory and reads it. `new_id` becomes the replica id of a file
  /// that is created now; an existing file keeps its own. The file stays locked until this object ends.
  /// Errors: any StorageErrc; `error_message` then holds the details, and the object is of no further use.
  std::error_code Open(const std::string& directory, const consensus::ReplicaId& new_id,
                       std::string& error_message);

  /// The id that stays with the file.
  const consensus::ReplicaId& replica_id() const { return replica_id_; }
  /// What the file held when it was opened, by shard.
  const std::map<int, consensus::StoredState>& stored() const { return stored_; }

  /// Carries out all writes in one transaction: true once they would survive a loss of power, false if none
  /// of them was stored (for instance, the disk is full).
  bool Commit(const std::vector<ShardWrite>& writes);

 private:
  std::error_code ReadTables(const std::string& file, const consensus::ReplicaId& new_id,
                             std::string& error_message);
  std::error_code InsertIdentity(const consensus::ReplicaId& new_id, std::string& error_message);
  std::error_code Fail(std::string& error_message) const;  // with SQLite's reason
  void ReadHardStates();
  std::error_code ReadSnapshots(std::string& error_message);
  std::error_code ReadEntries(std::string& error_message);

  bool Write(const ShardWrite& write);
  bool WriteHardState(int shard, const consensus::HardState& hard);
  bool WriteEntries(const ShardWrite& write);
  bool WriteSnapshot(int shard, const consensus::Snapshot& snapshot);

  sqlite::Database database_;
  consensus::ReplicaId replica_id_;
  std::map<int, consensus::StoredState> stored_;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_STORAGE_SHARD_DATABASE_HPP_
