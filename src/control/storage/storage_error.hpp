// Errors of opening, reading and writing the store.
#ifndef VIOLETWING_CONTROL_STORAGE_STORAGE_ERROR_HPP_
#define VIOLETWING_CONTROL_STORAGE_STORAGE_ERROR_HPP_

#include <system_error>

namespace violetwing {

/// Error codes of the store, of category StorageCategory(). All but kFormatTooNew and kForeignSchema are
/// equivalent to std::errc::io_error.
enum class StorageErrc {
  /// An I/O error of the file system or of SQLite. A retry may succeed.
  kIoError = 1,
  /// The file was written by a newer version, in a format that this version cannot read. Equivalent to
  /// std::errc::not_supported.
  kFormatTooNew,
  /// The file is damaged: a page, a row, a stored entry or snapshot is malformed, or the log has a gap.
  kCorrupt,
  /// The file or its directory is missing, or access is denied.
  kCannotOpen,
  /// Another process has the store open.
  kLocked,
  /// The disk is full. A retry may succeed.
  kFull,
  /// The file is shorter than its header states, or empty although its write-ahead log has content.
  kTruncated,
  /// The file has data, but lacks a table of the store.
  kMissingTable,
  /// The tables have other columns than those of a store, or the format number is not one of a store.
  /// Equivalent
  /// to std::errc::not_supported.
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
