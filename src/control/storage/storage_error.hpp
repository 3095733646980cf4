// The errors of opening the store.
#ifndef VIOLETWING_CONTROL_STORAGE_STORAGE_ERROR_HPP_
#define VIOLETWING_CONTROL_STORAGE_STORAGE_ERROR_HPP_

#include <system_error>

namespace violetwing {

/// Error codes of the store, of category StorageCategory().
enum class StorageErrc {
  /// The file system or SQLite has failed. Equivalent to std::errc::io_error.
  kIoError = 1,
  /// A newer version has written the file, in a format that this one does not read. Equivalent to
  /// std::errc::not_supported.
  kFormatTooNew,
  /// A stored entry or snapshot is malformed, or the log has a gap. Equivalent to std::errc::io_error.
  kCorrupt,
};

/// The category "violetwing.storage".
const std::error_category& StorageCategory();

/// Found by argument-dependent lookup when a StorageErrc converts to std::error_code.
std::error_code make_error_code(StorageErrc error);

}  // namespace violetwing

template <>
struct std::is_error_code_enum<violetwing::StorageErrc> : std::true_type {};

#endif  // VIOLETWING_CONTROL_STORAGE_STORAGE_ERROR_HPP_
