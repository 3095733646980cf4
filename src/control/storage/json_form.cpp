#include "control/storage/json_form.hpp"

#include <nlohmann/json.hpp>

namespace violetwing {
namespace {

using consensus::Entry;
using consensus::EntryKind;
using consensus::Members;
using consensus::Snapshot;
using nlohmann::json;

Members ReadMembers(const json& in) {
  Members members;
  for (const json& member : in)
    members.push_back({member.at("id").get<std::string>(), member.at("address").get<std::string>()});
  return members;
}

}  // namespace

std::optional<Entry> EntryFromJson(const std::string& text) {
  try {
    const json in = json::parse(text);
    const auto kind = in.at("kind").get<std::string>();
    Entry entry;
    in.at("term").get_to(entry.term);
    if (kind == "command") {
      in.at("command").get_to(entry.command);
    } else if (kind == "members") {
      entry.kind = EntryKind::kMembers;
      entry.members = ReadMembers(in.at("members"));
    } else if (kind == "noop") {
      entry.kind = EntryKind::kNoop;
    } else {
      return std::nullopt;
    }
    return entry;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::optional<Snapshot> SnapshotFromJson(const std::string& text) {
  try {
    const json in = json::parse(text);
    Snapshot snapshot;
    in.at("index").get_to(snapshot.index);
    in.at("term").get_to(snapshot.term);
    snapshot.members = ReadMembers(in.at("members"));
    in.at("state").get_to(snapshot.state);
    return snapshot;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace violetwing
