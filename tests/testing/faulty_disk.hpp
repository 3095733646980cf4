// A disk in memory for SQLite, through its VFS interface, that can do what real disks do when something
// fails: lose, tear and reorder what was not synced when the power ends, fail to read, fail to sync, fill up,
// hang, and say that it has synced what it has not.
//
// What a loss of power may leave is modeled after what file systems promise. Writes to a file reach the disk
// in any order, in sectors, until the file is synced. A file that was created, or deleted, is there, or gone,
// after a loss of power once its directory was synced. SQLite syncs the directory with the first sync of a
// journal or a log that it has created, and where it says so as it deletes one.
#ifndef VIOLETWING_TESTS_TESTING_FAULTY_DISK_HPP_
#define VIOLETWING_TESTS_TESTING_FAULTY_DISK_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/random.hpp"

namespace violetwing::testing {

/// What has survived of the writes that were not synced when the power ended.
enum class Survival {
  kNothing,
  kEverything,
  kTornPrefix,    ///< the first ones, and of the next one some bytes from its beginning
  kSectorSubset,  ///< any sectors of any of them, so that they are reordered, dropped and torn
};
inline constexpr Survival kAllSurvivals[] = {Survival::kNothing, Survival::kEverything, Survival::kTornPrefix,
                                             Survival::kSectorSubset};

/// The files of one directory. While any such disk exists, SQLite opens files through this VFS by default;
/// all paths must then be in the directory of some disk. Not thread-safe but for `on_sync`, which may block.
class FaultyDisk {
 public:
  /// What is on the disk once the power is back: the files by name.
  using Image = std::map<std::string, std::string>;
  /// What a file is for, as far as the disk treats files differently.
  enum class FileKind { kDatabase, kJournal };

  /// `directory` is unique among the disks that exist, begins with a slash and ends without one.
  explicit FaultyDisk(std::string directory);
  ~FaultyDisk();
  FaultyDisk(const FaultyDisk&) = delete;
  FaultyDisk& operator=(const FaultyDisk&) = delete;

  const std::string& directory() const { return directory_; }
  /// Writes, truncations, syncs and deletions so far.
  std::uint64_t operations() const { return operations_; }
  /// Reads so far.
  std::uint64_t reads() const { return reads_; }

  // ---- Faults ----

  /// The operation of this number fails, and all from then on and all reads: the power is off. What the
  /// operation does may survive as what was not synced. 0: never.
  std::uint64_t power_ends_at = 0;
  /// The operation of this number fails, once. A sync that fails drops what it was to make durable from the
  /// cache, as Linux does, so that the next one cannot make up for it. 0: never.
  std::uint64_t operation_fails_at = 0;
  /// The read of this number fails, and all from then on. 0: never.
  std::uint64_t reads_fail_from = 0;
  /// A write that would make the files larger together fails, with half of its bytes written.
  std::optional<std::size_t> capacity_bytes;
  /// Syncs succeed and make nothing durable.
  bool ignores_syncs = false;
  /// Called before each operation takes effect, and before each sync (there it may block).
  std::function<void()> on_operation;
  std::function<void()> on_sync;

  // ---- Loss of power ----

  /// What would be there if the power ended now. `random` chooses what survives.
  Image ImageAfterPowerLoss(Survival survival, Random& random) const;
  /// Replaces all files by those of an image, everything durable, and clears all faults. No file may be open.
  void Load(const Image& image);
  /// The files as their readers see them now.
  Image CurrentFiles() const;

 private:
  friend class FaultyFile;
  friend class FaultyFileSystem;

  struct Write {
    bool truncates = false;
    std::size_t offset = 0;  // the new size where it truncates
    std::string bytes;
  };
  struct File {
    std::string current;          // what readers see
    std::string durable;          // what was synced
    std::vector<Write> unsynced;  // what leads from `durable` to `current`, in order
    bool entry_durable = false;   // the directory was synced since it was created
    int handles = 0;
    bool locked = false;
  };
  using FilePtr = std::shared_ptr<File>;

  // Each returns a result code of SQLite.
  int BeginOperation();
  int BeginRead();
  int DoWrite(File& file, Write write);
  int DoSync(File& file, FileKind kind);
  int DoDelete(const std::string& name, bool syncs_directory);
  bool HasRoomFor(const File& file, const Write& write) const;
  void SyncDirectory();
  static void Apply(std::string& content, const Write& write);
  static std::string Survivors(const File& file, Survival survival, Random& random);

  const std::string directory_;
  std::map<std::string, FilePtr> files_;    // by name
  std::map<std::string, FilePtr> deleted_;  // durable still: the directory was not synced since
  std::uint64_t operations_ = 0;
  std::uint64_t reads_ = 0;
  bool power_is_off_ = false;
};

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_FAULTY_DISK_HPP_
