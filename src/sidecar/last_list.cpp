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

// A fleet that rolls changes its list many times a second, and a list of thousands takes milliseconds to
// word.
constexpr auto kWriteAfter = std::chrono::seconds(2);

bool Gone(const nlohmann::json& entry) { return entry.at("lifecycle") == "removed"; }
std::string IdOf(const nlohmann::json& entry) { return entry.at("instanceId").get<std::string>(); }

}  // namespace

LastList::LastList(asio::io_context& io, const std::string& directory,
                   const bench_adapter::WireSettings& names)
    : file_((std::filesystem::path(directory) / kFile).string()), names_(names), timer_(io) {}

LastList::~LastList() {
  if (!pending_) return;
  try {
    Write();
  } catch (const std::exception& error) {  // no memory: the copy stays as it was
    std::fprintf(stderr, "discovery: the list's copy is not written: %s\n", error.what());
  }
}

std::optional<nlohmann::json> LastList::ReadCopy(EndpointList& parsed) const {
  std::ifstream in(file_, std::ios::binary);
  if (!in) return std::nullopt;
  auto json = nlohmann::json::parse(in, nullptr, /*allow_exceptions=*/false);
  std::string error = "no JSON";
  const auto list = json.is_discarded() ? std::nullopt : ParseList(json, names_, error);
  if (list && (!list->complete || list->endpoints.empty())) error = "no whole list";
  if (list && error.empty()) {
    parsed = *list;
    return json;
  }
  std::fprintf(stderr, "discovery: the copy in TMPDIR is not used: %.200s\n", error.c_str());
  return std::nullopt;
}

std::optional<EndpointList> LastList::Load(const std::string& known) {
  if (!known.empty()) Adopt(nlohmann::json::parse(known));
  EndpointList kept;
  const auto copy = ReadCopy(kept);
  if (!copy || kept.generation <= generation_) return std::nullopt;
  Adopt(*copy);
  return kept;
}

bool LastList::Update(const nlohmann::json& list, std::string& reason) {
  if (!list.at("reset").get<bool>() && LeavesNone(list.at("instances"))) {
    reason = "changes that leave no server";
    return false;
  }
  Adopt(list);
  WriteLater();
  return true;
}

bool LastList::LeavesNone(const nlohmann::json& changes) const {
  if (entries_.empty() || changes.size() < entries_.size()) return false;
  std::set<std::string> left;
  for (const auto& [id, entry] : entries_) left.insert(id);
  for (const auto& entry : changes) {
    if (Gone(entry))
      left.erase(IdOf(entry));
    else
      left.insert(IdOf(entry));
  }
  return left.empty();
}

void LastList::Adopt(const nlohmann::json& list) {
  if (list.at("reset").get<bool>()) entries_.clear();
  generation_ = list.at("generation").get<std::int64_t>();
  for (const auto& entry : list.at("instances")) {
    if (Gone(entry))
      entries_.erase(IdOf(entry));
    else
      entries_[IdOf(entry)] = entry;
  }
}

void LastList::WriteLater() {
  if (std::exchange(pending_, true)) return;
  timer_.expires_after(kWriteAfter);
  timer_.async_wait([this](ErrorCode error) {
    if (!error) Write();
  });
}

// Beside it and then renamed, so that no start finds half of it. Two processes of an upgrade write under
// names of their own. It is not forced to disk: a crash of the machine may leave what Read passes over.
void LastList::Write() {
  pending_ = false;
  nlohmann::json instances = nlohmann::json::array();
  for (const auto& [id, entry] : entries_) instances.push_back(entry);
  const std::string beside = file_ + "." + std::to_string(::getpid());
  std::ofstream out(beside, std::ios::binary);
  out << nlohmann::json({{"generation", generation_}, {"reset", true}, {"instances", std::move(instances)}});
  out.close();
  std::error_code error;
  if (out) std::filesystem::rename(beside, file_, error);
  if ((!out || error) && !std::exchange(complained_, true))
    std::fprintf(stderr, "discovery: the list's copy cannot be written to TMPDIR\n");
}

}  // namespace violetwing::sidecar
