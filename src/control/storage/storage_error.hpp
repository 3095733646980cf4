// The errors of the store: opening it, reading it, writing to it.
#ifndef VIOLETWING_CONTROL_STORAGE_STORAGE_ERROR_HPP_
#define VIOLETWING_CONTROL_STORAGE_STORAGE_ERROR_HPP_

#include <system_error>

namespace violetwing {

/// Error codes of the store, of category StorageCategory(). All but kFormatTooNew and kForeignSchema are
/// equivalent to std::errc::io_error.
enum class StorageErrc {
  /// The file system or SQLite has failed. It may succeed later.
  kIoError = 1,
  /// A newer version has written the file, in a format that this one does not read. Equivalent to
  /// std::errc::not_supported.
  kFormatTooNew,
  /// The file is damaged: a page, a row, a stored entry or snapshot is malformed, or the log has a gap.
  kCorrupt,
  /// The file or its directory is missing or may not be opened or written.
  kCannotOpen,
  /// Another process has the store open.
  kLocked,
  /// The disk is full. It may succeed later.
  kFull,
  /// The file is shorter than its own header says, or empty although a write-ahead log lies beside it.
  kTruncated,
  /// The file holds data, but not all tables of a store.
  kMissingTable,
  /// The tables have other columns than those of a store, or no known format. Equivalent to
  /// std::errc::not_supported.
  kForeignSchema,
};

/// The category "violetwing.storage".
const std::error_category& StorageCategory();

/// Found by argument-dependent lookup when a StorageErrc converts to std::error_code.
std::error_code make_error_code(StorageErrc error);

}  // namespace violetwing

template <>
struct std::is_error_code_enum<violetwing::StorageErrc> : std::true_type {};

#endif  // VIOLETWING_CONTROL_STORAGE_STORAGE_ERROR_HPP_
