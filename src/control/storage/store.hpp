// What a control process keeps on its disk: for each shard the vote, the last snapshot and the log after it,
// in one SQLite file. All writing is done on a thread of its own, as a sync may hang for seconds; writes that
// wait are committed together. A write that fails (a full or a failing disk) is tried again until it
// succeeds: it is then late, never lost, and nothing that depends on it has been said.
#ifndef VIOLETWING_CONTROL_STORAGE_STORE_HPP_
#define VIOLETWING_CONTROL_STORAGE_STORE_HPP_

#include <sqlite3.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include "control/consensus/replica.hpp"
#include "control/storage/shard_write.hpp"

namespace violetwing {

class Store {
 public:
  // Reads or makes the file. `founder` is the id that a disk made now gets; it stays with the disk. Opening
  // fails with the system's or SQLite's reason in `problem`.
  std::error_code Open(const std::string& directory, const std::string& founder, std::string& problem);
  ~Store();

  const std::string& disk() const { return disk_; }
  const std::map<int, consensus::StoredState>& stored() const { return stored_; }

  // `notify` is called on the disk's thread when something has been written; TakeWritten then tells what.
  void Start(std::function<void()> notify);
  // Writes after all that was enqueued before; `token` comes back once it would outlive a loss of power.
  void Enqueue(ShardWrite write, std::uint64_t token);
  std::vector<std::uint64_t> TakeWritten();

 private:
  struct Job {
    ShardWrite write;
    std::uint64_t token;
  };

  bool Run(const char* sql, std::string* problem = nullptr);
  bool ReadAll(std::string& problem);
  bool ReadSnapshots(std::string& problem);
  bool ReadEntries(std::string& problem);
  bool WriteAll(const std::vector<Job>& jobs);
  bool Write(const ShardWrite& write);
  bool Step(sqlite3_stmt* statement);
  void Work();

  sqlite3* database_ = nullptr;
  std::map<std::string, sqlite3_stmt*> statements_;
  sqlite3_stmt* Prepare(const std::string& sql);
  std::string disk_;
  std::map<int, consensus::StoredState> stored_;

  std::function<void()> notify_;
  std::thread thread_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Job> queue_;
  std::vector<std::uint64_t> written_;
  bool stopped_ = false;
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_STORAGE_STORE_HPP_
