#include "control/storage/sqlite.hpp"

#include <array>

#include "control/storage/storage_error.hpp"

namespace violetwing::sqlite {
namespace {

// The database header (SQLite file format, 1.3): its length and the offsets of its fields.
constexpr int kHeaderBytes = 100;
constexpr const char* kHeaderMagic = "SQLite format 3";
constexpr std::size_t kPageSizeOffset = 16;   // 2 bytes; 1 means 65536
constexpr std::size_t kPageCountOffset = 28;  // 4 bytes
constexpr std::int64_t kMaxPageBytes = 65536;

std::string ToString(const void* bytes, int size) {
  if (bytes == nullptr) return {};
  return {static_cast<const char*>(bytes), static_cast<std::size_t>(size)};
}

std::int64_t ReadBigEndian(const std::string& bytes, std::size_t offset, std::size_t size) {
  std::int64_t value = 0;
  for (std::size_t i = 0; i < size; ++i) value = value * 256 + static_cast<unsigned char>(bytes[offset + i]);
  return value;
}

}  // namespace

std::error_code FromSqlite(int code) {
  constexpr int kPrimaryCodeMask = 0xff;
  switch (code & kPrimaryCodeMask) {
    case SQLITE_OK:
    case SQLITE_ROW:
    case SQLITE_DONE:
      return {};
    case SQLITE_CORRUPT:
    case SQLITE_NOTADB:
      return StorageErrc::kCorrupt;
    case SQLITE_CANTOPEN:
    case SQLITE_PERM:
    case SQLITE_READONLY:
    case SQLITE_AUTH:
      return StorageErrc::kCannotOpen;
    case SQLITE_BUSY:
    case SQLITE_LOCKED:
      return StorageErrc::kLocked;
    case SQLITE_FULL:
      return StorageErrc::kFull;
    default:
      return StorageErrc::kIoError;
  }
}

// ---- Statement ----

Statement::Statement(sqlite3_stmt* statement, std::error_code error) : statement_(statement), error_(error) {
  if (statement_ == nullptr) return;
  sqlite3_reset(statement_);
  sqlite3_clear_bindings(statement_);
}

Statement::~Statement() {
  if (statement_ != nullptr) sqlite3_reset(statement_);
}

void Statement::RecordError(int code) {
  if (!error_) error_ = FromSqlite(code);
}

Statement& Statement::Bind(int parameter, std::uint64_t number) {
  RecordError(sqlite3_bind_int64(statement_, parameter, static_cast<sqlite3_int64>(number)));
  return *this;
}

Statement& Statement::BindText(int parameter, const std::string& text) {
  RecordError(
      sqlite3_bind_text(statement_, parameter, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT));
  return *this;
}

Statement& Statement::BindBlob(int parameter, const std::string& bytes) {
  RecordError(sqlite3_bind_blob(statement_, parameter, bytes.data(), static_cast<int>(bytes.size()),
                                SQLITE_TRANSIENT));
  return *this;
}

std::error_code Statement::Run() {
  if (error_) return error_;
  RecordError(sqlite3_step(statement_));
  sqlite3_reset(statement_);
  return error_;
}

StepResult Statement::Next() {
  if (error_) return StepResult::kError;
  const int code = sqlite3_step(statement_);
  if (code == SQLITE_ROW) return StepResult::kRow;
  if (code == SQLITE_DONE) return StepResult::kEnd;
  RecordError(code);
  return StepResult::kError;
}

bool Statement::IsInteger(int column) const {
  return sqlite3_column_type(statement_, column) == SQLITE_INTEGER;
}

bool Statement::IsText(int column) const { return sqlite3_column_type(statement_, column) == SQLITE_TEXT; }

int Statement::Int(int column) const { return sqlite3_column_int(statement_, column); }

std::uint64_t Statement::Unsigned(int column) const {
  return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column));
}

std::string Statement::Text(int column) const {
  const unsigned char* text = sqlite3_column_text(statement_, column);
  return ToString(text, sqlite3_column_bytes(statement_, column));
}

std::string Statement::Blob(int column) const {
  const void* bytes = sqlite3_column_blob(statement_, column);
  return ToString(bytes, sqlite3_column_bytes(statement_, column));
}

// ---- Database ----

std::error_code Database::Open(const std::string& file) {
  path_ = file;
  sqlite3* handle = nullptr;
  const int code = sqlite3_open(file.c_str(), &handle);
  handle_.reset(handle);  // also after an error: the handle holds the error and must be closed
  return FromSqlite(code);
}

std::error_code Database::Execute(const char* sql) {
  return FromSqlite(sqlite3_exec(handle_.get(), sql, nullptr, nullptr, nullptr));
}

Statement Database::Prepare(const std::string& sql) {
  auto& statement = statements_[sql];
  if (statement != nullptr) return Statement(statement.get(), {});
  sqlite3_stmt* prepared = nullptr;
  const int code = sqlite3_prepare_v2(handle_.get(), sql.c_str(), -1, &prepared, nullptr);
  statement.reset(prepared);
  // All texts are constants of this program, so an SQL error means that the schema is a foreign one.
  const std::error_code error = code == SQLITE_ERROR ? StorageErrc::kForeignSchema : FromSqlite(code);
  return Statement(statement.get(), error);
}

std::string Database::ErrorMessage() const { return sqlite3_errmsg(handle_.get()); }

sqlite3_file* Database::File() const {
  sqlite3_file* file = nullptr;
  sqlite3_file_control(handle_.get(), "main", SQLITE_FCNTL_FILE_POINTER, &file);
  return file == nullptr || file->pMethods == nullptr ? nullptr : file;
}

bool Database::IsEmptyWithWal() const {
  sqlite3_file* const file = File();
  sqlite3_int64 size = 0;
  if (file == nullptr || file->pMethods->xFileSize(file, &size) != SQLITE_OK || size > 0) return false;
  sqlite3_vfs* vfs = nullptr;
  sqlite3_file_control(handle_.get(), "main", SQLITE_FCNTL_VFS_POINTER, &vfs);
  int exists = 0;
  // xAccess reports an empty file as missing, so an empty log is not counted.
  const std::string wal_path = path_ + "-wal";
  return vfs != nullptr && vfs->xAccess(vfs, wal_path.c_str(), SQLITE_ACCESS_EXISTS, &exists) == SQLITE_OK &&
         exists != 0;
}

std::string Database::ReadHeader() const {
  sqlite3_file* const file = File();
  std::array<char, kHeaderBytes> header{};
  if (file == nullptr || file->pMethods->xRead(file, header.data(), kHeaderBytes, 0) != SQLITE_OK) return {};
  return {header.begin(), header.end()};
}

bool Database::IsTruncated() const {
  const std::string header = ReadHeader();
  if (header.rfind(kHeaderMagic, 0) != 0) return false;
  const std::int64_t stored_page_size = ReadBigEndian(header, kPageSizeOffset, 2);
  const std::int64_t page_size = stored_page_size == 1 ? kMaxPageBytes : stored_page_size;
  sqlite3_int64 size = 0;
  sqlite3_file* const file = File();
  if (file->pMethods->xFileSize(file, &size) != SQLITE_OK) return false;
  return size < page_size * ReadBigEndian(header, kPageCountOffset, 4);
}

}  // namespace violetwing::sqlite
