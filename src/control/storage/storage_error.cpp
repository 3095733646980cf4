#include "control/storage/storage_error.hpp"

#include <string>

namespace violetwing {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "violetwing.storage"; }

  std::string message(int error) const override {
    switch (static_cast<StorageErrc>(error)) {
      case StorageErrc::kIoError:
        return "input or output failed";
      case StorageErrc::kFormatTooNew:
        return "the stored format is newer than this program";
      case StorageErrc::kCorrupt:
        return "stored data is corrupt";
      case StorageErrc::kCannotOpen:
        return "the file cannot be opened";
      case StorageErrc::kLocked:
        return "another process has the store open";
      case StorageErrc::kFull:
        return "the disk is full";
      case StorageErrc::kTruncated:
        return "the file is truncated";
      case StorageErrc::kMissingTable:
        return "a table is missing";
      case StorageErrc::kForeignSchema:
        return "the tables are not those of a store";
    }
    return "unknown error " + std::to_string(error);
  }

  std::error_condition default_error_condition(int error) const noexcept override {
    switch (static_cast<StorageErrc>(error)) {
      case StorageErrc::kIoError:
      case StorageErrc::kCorrupt:
      case StorageErrc::kCannotOpen:
      case StorageErrc::kLocked:
      case StorageErrc::kFull:
      case StorageErrc::kTruncated:
      case StorageErrc::kMissingTable:
        return std::errc::io_error;
      case StorageErrc::kFormatTooNew:
      case StorageErrc::kForeignSchema:
        return std::errc::not_supported;
    }
    return {error, *this};
  }
};

}  // namespace

const std::error_category& StorageCategory() {
  static const Category kCategory;
  return kCategory;
}

std::error_code make_error_code(StorageErrc error) { return {static_cast<int>(error), StorageCategory()}; }

}  // namespace violetwing
