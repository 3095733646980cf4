#include "common/log.hpp"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/null_sink.h>

namespace violetwing {

Log::Log()
    : logger_(std::make_shared<spdlog::logger>("lab", std::make_shared<spdlog::sinks::null_sink_st>())) {
  logger_->set_level(spdlog::level::off);
}

Log::Log(const std::string& file, ExistingFile existing)
    : logger_(std::make_shared<spdlog::logger>("lab",
                                               std::make_shared<spdlog::sinks::basic_file_sink_st>(
                                                   file, /*truncate=*/existing == ExistingFile::kTruncate))) {
  logger_->set_pattern("%v");
  // Flushes each event, as the program may be killed; events are rare enough for that.
  logger_->flush_on(spdlog::level::info);
}

std::string Log::Line(const char* level, std::int64_t at_us, const char* part, const char* event,
                      const nlohmann::json& fields) {
  nlohmann::ordered_json line = {
      {"time", static_cast<double>(at_us) / 1e6}, {"level", level}, {"part", part}, {"event", event}};
  for (const auto& [key, value] : fields.items()) line[key] = value;
  // Output of another process may not be valid UTF-8: invalid bytes are replaced rather than the line
  // dropped.
  return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void Log::Write(spdlog::level::level_enum level, std::int64_t at_us, const char* part, const char* event,
                const nlohmann::json& fields) {
  if (!logger_->should_log(level)) return;
  logger_->log(level, "{}",
               Line(level == spdlog::level::warn ? "warning" : "info", at_us, part, event, fields));
}

}  // namespace violetwing
