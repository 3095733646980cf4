// Structured logs: JSON lines with time, level, part, event and fields, written by spdlog.
#ifndef VIOLETWING_COMMON_LOG_HPP_
#define VIOLETWING_COMMON_LOG_HPP_

#include <spdlog/logger.h>

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace violetwing {

class Log {
 public:
  Log();  // keeps nothing
  enum class Old { kReplaced, kKept };
  Log(const std::string& file, Old old);  // throws spdlog::spdlog_ex if it cannot be opened

  // `at_us` is the time of the event by the program's own clock; `fields` is an object.
  void Info(std::int64_t at_us, const char* part, const char* event, const nlohmann::json& fields = {}) {
    Write(spdlog::level::info, at_us, part, event, fields);
  }
  void Warn(std::int64_t at_us, const char* part, const char* event, const nlohmann::json& fields = {}) {
    Write(spdlog::level::warn, at_us, part, event, fields);
  }

  // The one form of a line, for those that write many at once too.
  static std::string Line(const char* level, std::int64_t at_us, const char* part, const char* event,
                          const nlohmann::json& fields);

 private:
  void Write(spdlog::level::level_enum level, std::int64_t at_us, const char* part, const char* event,
             const nlohmann::json& fields);

  std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_LOG_HPP_
