#include "lab/merged_log.hpp"

#include <algorithm>
#include <fstream>
#include <stdexcept>

namespace violetwing::lab {
namespace {

const char* Name(TryEnd end) {
  static const char* const kNames[] = {"is open", "answered", "closed", "gave up", "left", "no connection"};
  return kNames[static_cast<int>(end)];
}

const char* Name(Outcome outcome) {
  static const char* const kNames[] = {"runs", "served", "error", "declined", "repeat dropped", "cut off"};
  return kNames[static_cast<int>(outcome)];
}

const char* Name(Lifecycle lifecycle) {
  static const char* const kNames[] = {"up", "draining", "removed"};
  return kNames[static_cast<int>(lifecycle)];
}

class Lines {
 public:
  void Add(Micros at, const char* part, const char* event, nlohmann::json fields) {
    if (at != kNever) lines_.push_back({at, part, event, std::move(fields)});
  }
  void Write(const std::string& file) {
    std::stable_sort(lines_.begin(), lines_.end(),
                     [](const Journal::Line& a, const Journal::Line& b) { return a.at < b.at; });
    std::ofstream out(file);
    for (const Journal::Line& line : lines_)
      out << Log::Line("info", line.at, line.part, line.event, line.fields) << '\n';
    if (!out.flush()) throw std::runtime_error(file + ": cannot be written");
  }

 private:
  std::vector<Journal::Line> lines_;
};

}  // namespace

void WriteMergedLog(const std::string& file, const Journal& journal, const Plan& plan, const Records& records,
                    Micros load_begin) {
  Lines lines;
  for (const Journal::Line& line : journal.lines())
    lines.Add(line.at - load_begin, line.part, line.event, line.fields);
  for (const TryRecord& one : records.tries) {
    const int sidecar = plan.arrivals[one.arrival].sidecar;
    lines.Add(one.begun, "client", "tries", {{"id", one.id}, {"sidecar", sidecar}});
    lines.Add(one.sent, "client", "sent", {{"id", one.id}});
    lines.Add(one.ended, "client", Name(one.end),
              {{"id", one.id}, {"status", one.status}, {"resent", one.resent}});
  }
  for (const AttemptRecord& one : records.attempts) {
    const std::string& server = records.lives[static_cast<std::size_t>(one.life)].id;
    lines.Add(one.sent, "sidecar", "sends", {{"id", one.id}, {"server", server}});
    lines.Add(one.arrived, "server", "arrived",
              {{"id", one.id}, {"server", server}, {"work_ms", one.work_us / 1e3}});
    lines.Add(one.ended, "server", Name(one.outcome), {{"id", one.id}, {"server", server}});
  }
  for (const ToldRecord& one : records.told)
    lines.Add(one.at, "discovery", "told",
              {{"sidecar", one.sidecar}, {"server", one.server}, {"as", Name(one.lifecycle)}});
  lines.Write(file);
}

}  // namespace violetwing::lab
