// Structured logging of the lab and the registry: JSON lines with time, level, part, event and fields.
#ifndef VIOLETWING_COMMON_LOG_HPP_
#define VIOLETWING_COMMON_LOG_HPP_

#include <spdlog/logger.h>

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace violetwing {

/// Writes events to a file, one JSON object per line. Not thread-safe.
class Log {
 public:
  /// Discards all events.
  Log();
  /// What to do with a log file that already exists.
  enum class ExistingFile { kTruncate, kAppend };
  /// Logs to `file`. Throws spdlog::spdlog_ex if it cannot be opened.
  Log(const std::string& file, ExistingFile existing);

  /// Logs an event at level info. `at_us`: time in microseconds on the program's own clock. `part`: the
  /// component that logs. `fields`: a JSON object.
  void Info(std::int64_t at_us, const char* part, const char* event, const nlohmann::json& fields = {}) {
    Write(spdlog::level::info, at_us, part, event, fields);
  }

  /// Logs an event that needs an operator's attention, at level warning.
  void Warn(std::int64_t at_us, const char* part, const char* event, const nlohmann::json& fields = {}) {
    Write(spdlog::level::warn, at_us, part, event, fields);
  }

  /// Formats a line as Info and Warn write it, without the newline, for callers that write lines in batches.
  static std::string Line(const char* level, std::int64_t at_us, const char* part, const char* event,
                          const nlohmann::json& fields);

 private:
  void Write(spdlog::level::level_enum level, std::int64_t at_us, const char* part, const char* event,
             const nlohmann::json& fields);

  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_LOG_HPP_
