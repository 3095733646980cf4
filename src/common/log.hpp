// Structured logs of the lab and the registry: JSON lines with time, level, part, event and fields.
#ifndef VIOLETWING_COMMON_LOG_HPP_
#define VIOLETWING_COMMON_LOG_HPP_

#include <spdlog/logger.h>

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace violetwing {

/// Writes events to a file, one JSON object a line. Not thread safe.
class Log {
 public:
  /// Discards all events.
  Log();
  /// How a file that exists already is opened.
  enum class ExistingFile { kTruncate, kAppend };
  /// Throws spdlog::spdlog_ex if the file cannot be opened.
  Log(const std::string& file, ExistingFile existing);

  /// Writes an event of this level. `at_us`: microseconds by the program's own clock; `fields`: a JSON
  /// object.
  void Info(std::int64_t at_us, const char* part, const char* event, const nlohmann::json& fields = {}) {
    Write(spdlog::level::info, at_us, part, event, fields);
  }

  /// As Info, for what an operator should look at.
  void Warn(std::int64_t at_us, const char* part, const char* event, const nlohmann::json& fields = {}) {
    Write(spdlog::level::warn, at_us, part, event, fields);
  }

  /// A line as Info and Warn write it, without its end, for callers that write many at once.
  static std::string Line(const char* level, std::int64_t at_us, const char* part, const char* event,
                          const nlohmann::json& fields);

 private:
  void Write(spdlog::level::level_enum level, std::int64_t at_us, const char* part, const char* event,
             const nlohmann::json& fields);

  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_LOG_HPP_
