// An in-memory disk for SQLite with fault injection, implemented as a VFS. It can lose, tear and reorder
// unsynced writes at a power loss, fail reads, writes and syncs, become full, hang, and report syncs that
// have not happened.
//
// The state after a power loss is modeled after the guarantees of file systems. Writes to a file reach the
// disk in any order, sector by sector, until the file is synced. The creation or deletion of a file is
// durable once its directory is synced. SQLite syncs the directory with the first sync of a journal or log
// that it has created, and when it deletes one with the syncDir flag.
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

/// Which unsynced writes survive a power loss.
enum class Survival {
  kNothing,
  kEverything,
  kTornPrefix,    ///< the first writes, and a prefix of the next one
  kSectorSubset,  ///< any sectors of any writes, so that writes are reordered, dropped and torn
};
inline constexpr Survival kAllSurvivals[] = {Survival::kNothing, Survival::kEverything, Survival::kTornPrefix,
                                             Survival::kSectorSubset};

/// The files of one directory. While any such disk exists, SQLite opens files through this VFS by default,
/// and all paths must be in the directory of a disk. Not thread-safe, except that `on_sync` may block.
class FaultyDisk {
 public:
  /// Contents of the disk: the files by name.
  using Image = std::map<std::string, std::string>;
  /// Kinds of files that the disk handles differently.
  enum class FileKind { kDatabase, kJournal };

  /// `directory` must be unique among the existing disks, start with a slash and not end with one.
  explicit FaultyDisk(std::string directory);
  ~FaultyDisk();
  FaultyDisk(const FaultyDisk&) = delete;
  FaultyDisk& operator=(const FaultyDisk&) = delete;

  const std::string& directory() const { return directory_; }
  /// Number of writes, truncations, syncs and deletions so far.
  std::uint64_t operations() const { return operations_; }
  /// Number of reads so far.
  std::uint64_t reads() const { return reads_; }

  // ---- Faults ----

  /// The power is lost during the operation with this number: it and all later operations and reads fail. Its
  /// effect may survive like that of earlier unsynced ones. 0: never.
  std::uint64_t power_lost_at = 0;
  /// Only the operation with this number fails. A failed sync discards the unsynced writes from the cache, as
  /// Linux does, so that a later sync does not make them durable. 0: never.
  std::uint64_t failing_operation = 0;
  /// The read with this number and all later ones fail. 0: never.
  std::uint64_t first_failing_read = 0;
  /// Maximum total size of the files. A write that would exceed it fails after half of its bytes are written.
  std::optional<std::size_t> capacity_bytes;
  /// Syncs succeed without making anything durable.
  bool ignores_syncs = false;
  /// Called before each operation takes effect, and before each sync; `on_sync` may block.
  std::function<void()> on_operation;
  std::function<void()> on_sync;

  // ---- Loss of power ----

  /// Contents of the disk if the power were lost now. `random` selects which writes survive.
  Image ImageAfterPowerLoss(Survival survival, Random& random) const;
  /// Replaces all files by those of the image, as durable content, and clears all faults. No file may be
  /// open.
  void Load(const Image& image);
  /// The current files as readers see them.
  Image CurrentFiles() const;

 private:
  friend class FaultyFile;
  friend class FaultyFileSystem;

  struct Write {
    bool truncates = false;
    std::size_t offset = 0;  // of a truncation: the new size
    std::string bytes;
  };
  struct File {
    std::string current;          // content that readers see
    std::string durable;          // content as of the last successful sync
    std::vector<Write> unsynced;  // since the last sync, in order
    bool entry_durable = false;   // whether the directory was synced after the creation
    int handles = 0;
    bool locked = false;
  };
  using FilePtr = std::shared_ptr<File>;

  // These return SQLite result codes.
  int BeginOperation();
  int BeginRead();
  int DoWrite(File& file, Write write);
  int DoSync(File& file, FileKind kind);
  int DoDelete(const std::string& name, bool syncs_directory);
  bool HasRoomFor(const File& file, const Write& write) const;
  void SyncDirectory();
  static void Apply(std::string& content, const Write& write);
  static std::string ContentAfterPowerLoss(const File& file, Survival survival, Random& random);

  const std::string directory_;
  std::map<std::string, FilePtr> files_;    // by name
  std::map<std::string, FilePtr> deleted_;  // still in the durable directory, which was not synced since
  std::uint64_t operations_ = 0;
  std::uint64_t reads_ = 0;
  bool power_is_off_ = false;
};

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_FAULTY_DISK_HPP_
