#include "testing/faulty_disk.hpp"

#include <sqlite3.h>

#include <algorithm>
#include <cstring>
#include <new>
#include <stdexcept>
#include <utility>

namespace violetwing::testing {

namespace {

constexpr std::size_t kSectorBytes = 512;
constexpr int kMaxPath = 512;

}  // namespace

// ---- The VFS ----

// An open file, constructed in memory that SQLite provides. Its base is a C structure, so it has no virtual
// functions.
class FaultyFile : public sqlite3_file {
 public:
  static FaultyFile& Of(sqlite3_file* file) { return *static_cast<FaultyFile*>(file); }

  void Open(FaultyDisk& disk, FaultyDisk::FilePtr content, FaultyDisk::FileKind kind) {
    pMethods = &kMethods;
    disk_ = &disk;
    content_ = std::move(content);
    kind_ = kind;
    ++content_->handles;
  }

 private:
  static int Close(sqlite3_file* file) {
    FaultyFile& self = Of(file);
    --self.content_->handles;
    if (self.holds_lock_) self.content_->locked = false;
    self.~FaultyFile();
    return SQLITE_OK;
  }
  static int Read(sqlite3_file* file, void* out, int size, sqlite3_int64 offset) {
    FaultyFile& self = Of(file);
    if (const int code = self.disk_->BeginRead(); code != SQLITE_OK) return code;
    const std::string& bytes = self.content_->current;
    const auto begin = std::min(static_cast<std::size_t>(offset), bytes.size());
    const auto count = std::min(static_cast<std::size_t>(size), bytes.size() - begin);
    std::memset(out, 0, static_cast<std::size_t>(size));
    std::memcpy(out, bytes.data() + begin, count);
    return count == static_cast<std::size_t>(size) ? SQLITE_OK : SQLITE_IOERR_SHORT_READ;
  }
  static int Write(sqlite3_file* file, const void* in, int size, sqlite3_int64 offset) {
    FaultyFile& self = Of(file);
    std::string bytes(static_cast<const char*>(in), static_cast<std::size_t>(size));
    return self.disk_->DoWrite(*self.content_, {false, static_cast<std::size_t>(offset), std::move(bytes)});
  }
  static int Truncate(sqlite3_file* file, sqlite3_int64 size) {
    FaultyFile& self = Of(file);
    return self.disk_->DoWrite(*self.content_, {true, static_cast<std::size_t>(size), {}});
  }
  static int Sync(sqlite3_file* file, int) {
    FaultyFile& self = Of(file);
    return self.disk_->DoSync(*self.content_, self.kind_);
  }
  static int FileSize(sqlite3_file* file, sqlite3_int64* size) {
    *size = static_cast<sqlite3_int64>(Of(file).content_->current.size());
    return SQLITE_OK;
  }
  static int Lock(sqlite3_file* file, int level) {
    FaultyFile& self = Of(file);
    if (self.holds_lock_) return SQLITE_OK;
    if (self.content_->locked) return SQLITE_BUSY;
    if (level < SQLITE_LOCK_EXCLUSIVE) return SQLITE_OK;
    self.content_->locked = self.holds_lock_ = true;
    return SQLITE_OK;
  }
  static int Unlock(sqlite3_file* file, int level) {
    FaultyFile& self = Of(file);
    if (!self.holds_lock_ || level >= SQLITE_LOCK_EXCLUSIVE) return SQLITE_OK;
    self.content_->locked = self.holds_lock_ = false;
    return SQLITE_OK;
  }
  static int CheckReservedLock(sqlite3_file* file, int* reserved) {
    *reserved = Of(file).content_->locked ? 1 : 0;
    return SQLITE_OK;
  }
  static int FileControl(sqlite3_file*, int, void*) { return SQLITE_NOTFOUND; }
  // Sector size and characteristics are those of SQLite's VFS for Unix.
  static int SectorSize(sqlite3_file*) { return 4096; }
  static int DeviceCharacteristics(sqlite3_file*) { return SQLITE_IOCAP_POWERSAFE_OVERWRITE; }

  static constexpr sqlite3_io_methods kMethods = {1,
                                                  Close,
                                                  Read,
                                                  Write,
                                                  Truncate,
                                                  Sync,
                                                  FileSize,
                                                  Lock,
                                                  Unlock,
                                                  CheckReservedLock,
                                                  FileControl,
                                                  SectorSize,
                                                  DeviceCharacteristics,
                                                  nullptr,
                                                  nullptr,
                                                  nullptr,
                                                  nullptr,
                                                  nullptr,
                                                  nullptr};

  FaultyDisk* disk_ = nullptr;
  FaultyDisk::FilePtr content_;
  FaultyDisk::FileKind kind_ = FaultyDisk::FileKind::kDatabase;
  bool holds_lock_ = false;
};

// SQLite's default VFS while any FaultyDisk exists.
class FaultyFileSystem {
 public:
  static void Add(FaultyDisk& disk) {
    if (Disks().empty()) Register();
    if (!Disks().emplace(disk.directory(), &disk).second)
      throw std::invalid_argument("two disks at " + disk.directory());
  }
  static void Remove(const FaultyDisk& disk) {
    Disks().erase(disk.directory());
    if (!Disks().empty()) return;
    sqlite3_vfs_unregister(&Vfs());
    sqlite3_vfs_register(System(), /*makeDflt=*/1);
  }

 private:
  static std::map<std::string, FaultyDisk*>& Disks() {
    static std::map<std::string, FaultyDisk*> disks;
    return disks;
  }
  static sqlite3_vfs*& System() {
    static sqlite3_vfs* system = nullptr;
    return system;
  }
  static sqlite3_vfs& Vfs() {
    static sqlite3_vfs vfs{};
    return vfs;
  }

  static void Register() {
    System() = sqlite3_vfs_find(nullptr);
    sqlite3_vfs& vfs = Vfs();
    vfs.iVersion = 1;
    vfs.szOsFile = sizeof(FaultyFile);
    vfs.mxPathname = kMaxPath;
    vfs.zName = "faulty";
    vfs.xOpen = Open;
    vfs.xDelete = Delete;
    vfs.xAccess = Access;
    vfs.xFullPathname = FullPathname;
    vfs.xRandomness = [](sqlite3_vfs*, int size, char* out) {
      return System()->xRandomness(System(), size, out);
    };
    vfs.xSleep = [](sqlite3_vfs*, int) { return 0; };
    vfs.xCurrentTime = [](sqlite3_vfs*, double* now) { return System()->xCurrentTime(System(), now); };
    sqlite3_vfs_register(&vfs, /*makeDflt=*/1);
  }

  // Returns the disk that contains the path, or null, and the name of the file on it.
  static std::pair<FaultyDisk*, std::string> Find(const std::string& path) {
    const std::size_t slash = path.rfind('/');
    const auto disk = Disks().find(path.substr(0, slash));
    if (slash == std::string::npos || disk == Disks().end()) return {nullptr, {}};
    return {disk->second, path.substr(slash + 1)};
  }

  static int Open(sqlite3_vfs*, const char* path, sqlite3_file* out, int flags, int* flags_out) {
    auto* const file = new (out) FaultyFile();
    file->pMethods = nullptr;                     // tells SQLite not to call xClose after an error
    if (path == nullptr) return SQLITE_CANTOPEN;  // a temporary file, which the store never needs
    const auto [disk, name] = Find(path);
    if (disk == nullptr) return SQLITE_CANTOPEN;
    if (disk->power_is_off_) return SQLITE_IOERR;
    FaultyDisk::FilePtr& content = disk->files_[name];
    if (content == nullptr) {
      if ((flags & SQLITE_OPEN_CREATE) == 0) {
        disk->files_.erase(name);
        return SQLITE_CANTOPEN;
      }
      content = std::make_shared<FaultyDisk::File>();
    }
    const bool is_database = (flags & SQLITE_OPEN_MAIN_DB) != 0;
    file->Open(*disk, content,
               is_database ? FaultyDisk::FileKind::kDatabase : FaultyDisk::FileKind::kJournal);
    if (flags_out != nullptr) *flags_out = flags;
    return SQLITE_OK;
  }

  static int Delete(sqlite3_vfs*, const char* path, int syncs_directory) {
    const auto [disk, name] = Find(path);
    if (disk == nullptr || disk->files_.count(name) == 0) return SQLITE_IOERR_DELETE_NOENT;
    return disk->DoDelete(name, syncs_directory != 0);
  }

  static int Access(sqlite3_vfs*, const char* path, int, int* result) {
    const auto [disk, name] = Find(path);
    *result = 0;
    if (disk == nullptr) return SQLITE_OK;
    if (disk->power_is_off_) return SQLITE_IOERR_ACCESS;
    const auto file = disk->files_.find(name);
    // An empty file is reported as missing, as by SQLite's VFS for Unix.
    *result = file != disk->files_.end() && !file->second->current.empty() ? 1 : 0;
    return SQLITE_OK;
  }

  static int FullPathname(sqlite3_vfs*, const char* path, int size, char* out) {
    sqlite3_snprintf(size, out, "%s", path);
    return SQLITE_OK;
  }
};

// ---- The disk ----

FaultyDisk::FaultyDisk(std::string directory) : directory_(std::move(directory)) {
  FaultyFileSystem::Add(*this);
}

FaultyDisk::~FaultyDisk() { FaultyFileSystem::Remove(*this); }

int FaultyDisk::BeginOperation() {
  if (power_is_off_) return SQLITE_IOERR;
  if (on_operation) on_operation();
  ++operations_;
  if (power_lost_at > 0 && operations_ >= power_lost_at) {
    power_is_off_ = true;
    return SQLITE_OK;  // the operation may take effect; its caller checks power_is_off_
  }
  return operations_ == failing_operation ? SQLITE_IOERR : SQLITE_OK;
}

int FaultyDisk::BeginRead() {
  if (power_is_off_) return SQLITE_IOERR_READ;
  ++reads_;
  return first_failing_read > 0 && reads_ >= first_failing_read ? SQLITE_IOERR_READ : SQLITE_OK;
}

int FaultyDisk::DoWrite(File& file, Write write) {
  if (const int code = BeginOperation(); code != SQLITE_OK) return code;
  const bool fits = HasRoomFor(file, write);
  if (!fits) write.bytes.resize(write.bytes.size() / 2);
  Apply(file.current, write);
  file.unsynced.push_back(std::move(write));
  if (power_is_off_) return SQLITE_IOERR_WRITE;
  return fits ? SQLITE_OK : SQLITE_FULL;
}

int FaultyDisk::DoSync(File& file, FileKind kind) {
  if (on_sync) on_sync();
  const int code = BeginOperation();
  if (power_is_off_) return SQLITE_IOERR_FSYNC;
  if (code != SQLITE_OK) {
    // The unsynced pages stay visible to readers, but never reach the disk unless they are written again.
    file.unsynced.clear();
    return SQLITE_IOERR_FSYNC;
  }
  if (ignores_syncs) return SQLITE_OK;
  if (kind == FileKind::kJournal && !file.entry_durable) SyncDirectory();
  for (const Write& write : file.unsynced) Apply(file.durable, write);
  file.unsynced.clear();
  return SQLITE_OK;
}

int FaultyDisk::DoDelete(const std::string& name, bool syncs_directory) {
  if (const int code = BeginOperation(); code != SQLITE_OK) return code;
  const FilePtr file = files_.at(name);
  files_.erase(name);
  if (file->entry_durable) deleted_[name] = file;
  if (power_is_off_) return SQLITE_IOERR_DELETE;
  if (syncs_directory && !ignores_syncs) SyncDirectory();
  return SQLITE_OK;
}

bool FaultyDisk::HasRoomFor(const File& file, const Write& write) const {
  if (!capacity_bytes || write.truncates) return true;
  std::size_t used = 0;
  for (const auto& [name, existing] : files_) used += existing->current.size();
  const std::size_t end = write.offset + write.bytes.size();
  return used + (end > file.current.size() ? end - file.current.size() : 0) <= *capacity_bytes;
}

void FaultyDisk::SyncDirectory() {
  for (const auto& [name, file] : files_) file->entry_durable = true;
  deleted_.clear();
}

void FaultyDisk::Apply(std::string& content, const Write& write) {
  if (write.truncates) {
    content.resize(write.offset);
    return;
  }
  if (write.bytes.empty()) return;
  content.resize(std::max(content.size(), write.offset + write.bytes.size()));
  content.replace(write.offset, write.bytes.size(), write.bytes);
}

std::string FaultyDisk::ContentAfterPowerLoss(const File& file, Survival survival, Random& random) {
  std::string content = file.durable;
  const std::size_t complete_writes = survival == Survival::kTornPrefix
                                          ? random.Below(file.unsynced.size() + 1)
                                      : survival == Survival::kNothing ? 0
                                                                       : file.unsynced.size();
  for (std::size_t i = 0; i < complete_writes; ++i) {
    const Write& write = file.unsynced[i];
    if (survival != Survival::kSectorSubset) {
      Apply(content, write);
      continue;
    }
    if (write.truncates) {
      if (random.Below(2) == 0) Apply(content, write);
      continue;
    }
    for (std::size_t begin = 0; begin < write.bytes.size(); begin += kSectorBytes)
      if (random.Below(2) == 0)
        Apply(content, {false, write.offset + begin, write.bytes.substr(begin, kSectorBytes)});
  }
  if (survival == Survival::kTornPrefix && complete_writes < file.unsynced.size()) {
    Write torn = file.unsynced[complete_writes];
    torn.bytes.resize(random.Below(torn.bytes.size() + 1));
    if (!torn.truncates) Apply(content, torn);
  }
  return content;
}

FaultyDisk::Image FaultyDisk::ImageAfterPowerLoss(Survival survival, Random& random) const {
  Image image;
  const auto survives = [&](bool durable) {
    return durable || survival == Survival::kEverything ||
           (survival != Survival::kNothing && random.Below(2) == 0);
  };
  // An unsynced deletion may be undone.
  for (const auto& [name, file] : deleted_)
    if (survival != Survival::kEverything && (survival == Survival::kNothing || random.Below(2) == 0))
      image[name] = ContentAfterPowerLoss(*file, survival, random);
  for (const auto& [name, file] : files_)
    if (survives(file->entry_durable)) image[name] = ContentAfterPowerLoss(*file, survival, random);
  return image;
}

void FaultyDisk::Load(const Image& image) {
  for (const auto& [name, file] : files_)
    if (file->handles > 0) throw std::logic_error(directory_ + "/" + name + " is open");
  files_.clear();
  deleted_.clear();
  for (const auto& [name, content] : image) {
    auto file = std::make_shared<File>();
    file->current = file->durable = content;
    file->entry_durable = true;
    files_[name] = std::move(file);
  }
  power_is_off_ = false;
  power_lost_at = failing_operation = first_failing_read = 0;
  operations_ = reads_ = 0;
  capacity_bytes.reset();
  ignores_syncs = false;
  on_operation = nullptr;
  on_sync = nullptr;
}

FaultyDisk::Image FaultyDisk::CurrentFiles() const {
  Image image;
  for (const auto& [name, file] : files_) image[name] = file->current;
  return image;
}

}  // namespace violetwing::testing
