// What happened in a run, as the lab saw it: written at once, and kept for the merged log.
#ifndef VIOLETWING_LAB_JOURNAL_HPP_
#define VIOLETWING_LAB_JOURNAL_HPP_

#include <string>
#include <utility>
#include <vector>

#include "common/log.hpp"
#include "lab/shell.hpp"

namespace violetwing::lab {

class Journal {
 public:
  struct Line {
    Micros at = 0;
    const char* part = "";
    const char* event = "";
    nlohmann::json fields;
  };

  Journal(const Clock& clock, Log log) : clock_(clock), log_(std::move(log)) {}

  void Note(const char* part, const char* event, nlohmann::json fields = nlohmann::json::object()) {
    const Micros now = clock_.Now();
    log_.Info(now, part, event, fields);
    lines_.push_back({now, part, event, std::move(fields)});
  }
  const std::vector<Line>& lines() const { return lines_; }

 private:
  const Clock& clock_;
  Log log_;
  std::vector<Line> lines_;
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_JOURNAL_HPP_
