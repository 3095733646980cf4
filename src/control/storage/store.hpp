// The durable store of a control process. A worker thread commits the writes of all shards to the database,
// since a sync may block for seconds. Queued writes are committed together (group commit). A write that
// fails, for example on a full disk, is retried until it succeeds. Until then nothing that depends on it is
// acknowledged.
#ifndef VIOLETWING_CONTROL_STORAGE_STORE_HPP_
#define VIOLETWING_CONTROL_STORAGE_STORE_HPP_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "common/failure.hpp"
#include "control/consensus/replica.hpp"
#include "control/storage/shard_database.hpp"
#include "control/storage/shard_write.hpp"

namespace violetwing {

/// Open and then Start must each be called once, before Enqueue and TakeDurable, which are thread-safe.
class Store {
 public:
  Store() = default;
  /// Stops the worker thread. Writes that are still queued are discarded.
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  /// See ShardDatabase::Open.
  Fallible<void> Open(const std::string& directory, const consensus::ReplicaId& new_id) {
    return database_.Open(directory, new_id);
  }
  /// The replica id stored on this disk.
  const consensus::ReplicaId& replica_id() const { return database_.replica_id(); }
  /// Contents of the store when it was opened, by shard.
  const std::map<int, consensus::StoredState>& stored() const { return database_.stored(); }

  /// Starts the worker thread. It calls `notify` after each commit; TakeDurable then returns the new tokens.
  void Start(std::function<void()> notify);
  /// Queues a write after all earlier ones. TakeDurable returns `token` once the write would survive a power
  /// loss.
  void Enqueue(ShardWrite write, std::uint64_t token);
  /// Returns the tokens of the writes that have become durable since the last call, in the order of Enqueue.
  std::vector<std::uint64_t> TakeDurable();

 private:
  // Writes that are committed together, and their tokens.
  struct Batch {
    std::vector<ShardWrite> writes;
    std::vector<std::uint64_t> tokens;
  };

  void RunWorker();
  // Retries until the batch is committed. Returns false if the store is stopped first.
  bool CommitWithRetry(const std::vector<ShardWrite>& writes);
  bool IsStopped();

  ShardDatabase database_;  // used only by the worker thread once it is started
  std::function<void()> notify_;
  std::thread thread_;

  std::mutex mutex_;  // guards the members below
  std::condition_variable wake_;
  Batch queue_;
  std::vector<std::uint64_t> durable_;
  bool stopped_ = false;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_STORAGE_STORE_HPP_
