#include "sidecar/last_list.hpp"

#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <set>
#include <utility>

namespace violetwing::sidecar {
namespace {

// Delay that combines changes into one write: during a rolling restart the list changes many times a second,
// and serializing a list of thousands of servers takes milliseconds.
constexpr auto kWriteDelay = std::chrono::seconds(2);

bool IsRemoved(const nlohmann::json& entry) { return entry.at("lifecycle") == "removed"; }
std::string IdOf(const nlohmann::json& entry) { return entry.at("instanceId").get<std::string>(); }

}  // namespace

LastList::LastList(asio::io_context& io, const std::string& directory,
                   const bench_adapter::WireSettings& names)
    : file_((std::filesystem::path(directory) / kFile).string()), names_(names), timer_(io) {}

LastList::~LastList() {
  if (!write_pending_) return;
  try {
    Write();
  } catch (const std::exception& error) {  // out of memory: the previous copy remains
    std::fprintf(stderr, "discovery: cannot write the copy of the server list: %s\n", error.what());
  }
}

std::optional<nlohmann::json> LastList::ReadCopy(EndpointList& parsed) const {
  std::ifstream in(file_, std::ios::binary);
  if (!in) return std::nullopt;
  auto json = nlohmann::json::parse(in, nullptr, /*allow_exceptions=*/false);
  std::string error = "not valid JSON";
  const auto list = json.is_discarded() ? std::nullopt : ParseList(json, names_, error);
  if (list && (!list->complete || list->endpoints.empty())) error = "not a complete list with servers";
  if (list && error.empty()) {
    parsed = *list;
    return json;
  }
  std::fprintf(stderr, "discovery: ignored the copy of the server list in TMPDIR: %.200s\n", error.c_str());
  return std::nullopt;
}

std::optional<EndpointList> LastList::Load(const std::string& known) {
  if (!known.empty()) Apply(nlohmann::json::parse(known));
  EndpointList stored;
  const auto copy = ReadCopy(stored);
  if (!copy || stored.generation <= generation_) return std::nullopt;
  Apply(*copy);
  return stored;
}

bool LastList::Update(const nlohmann::json& list, std::string& reason) {
  if (!list.at("reset").get<bool>() && WouldRemoveAll(list.at("instances"))) {
    reason = "the changes would leave no server";
    return false;
  }
  Apply(list);
  ScheduleWrite();
  return true;
}

bool LastList::WouldRemoveAll(const nlohmann::json& changes) const {
  if (entries_.empty() || changes.size() < entries_.size()) return false;
  std::set<std::string> remaining;
  for (const auto& [id, entry] : entries_) remaining.insert(id);
  for (const auto& entry : changes) {
    if (IsRemoved(entry))
      remaining.erase(IdOf(entry));
    else
      remaining.insert(IdOf(entry));
  }
  return remaining.empty();
}

void LastList::Apply(const nlohmann::json& list) {
  if (list.at("reset").get<bool>()) entries_.clear();
  generation_ = list.at("generation").get<std::int64_t>();
  for (const auto& entry : list.at("instances")) {
    if (IsRemoved(entry))
      entries_.erase(IdOf(entry));
    else
      entries_[IdOf(entry)] = entry;
  }
}

void LastList::ScheduleWrite() {
  if (std::exchange(write_pending_, true)) return;
  timer_.expires_after(kWriteDelay);
  timer_.async_wait([this](ErrorCode error) {
    if (!error) Write();
  });
}

// Writes a temporary file and renames it, so that no start reads a partial file. The temporary name has the
// process id, as both processes of an upgrade write. There is no fsync: a crash of the machine may leave an
// invalid file, which ReadCopy ignores.
void LastList::Write() {
  write_pending_ = false;
  nlohmann::json instances = nlohmann::json::array();
  for (const auto& [id, entry] : entries_) instances.push_back(entry);
  const std::string temporary = file_ + "." + std::to_string(::getpid());
  std::ofstream out(temporary, std::ios::binary);
  out << nlohmann::json({{"generation", generation_}, {"reset", true}, {"instances", std::move(instances)}});
  out.close();
  std::error_code error;
  if (out) std::filesystem::rename(temporary, file_, error);
  if ((!out || error) && !std::exchange(logged_write_failure_, true))
    std::fprintf(stderr, "discovery: cannot write the copy of the server list to TMPDIR\n");
}

}  // namespace violetwing::sidecar
