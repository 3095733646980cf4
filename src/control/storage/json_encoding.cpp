#include "control/storage/json_encoding.hpp"

#include <nlohmann/json.hpp>

#include "messages/decode_error.hpp"

namespace violetwing {
namespace {

using consensus::Entry;
using consensus::EntryKind;
using consensus::Members;
using consensus::Snapshot;
using nlohmann::json;

Members MembersFromJson(const json& list) {
  Members members;
  for (const json& member : list)
    members.push_back({member.at("id").get<std::string>(), member.at("address").get<std::string>()});
  return members;
}

}  // namespace

Result<Entry> EntryFromJson(const std::string& text) {
  try {
    const json object = json::parse(text);
    const auto kind = object.at("kind").get<std::string>();
    Entry entry;
    object.at("term").get_to(entry.term);
    if (kind == "command") {
      object.at("command").get_to(entry.command);
    } else if (kind == "members") {
      entry.kind = EntryKind::kMembers;
      entry.members = MembersFromJson(object.at("members"));
    } else if (kind == "noop") {
      entry.kind = EntryKind::kNoop;
    } else {
      return DecodeErrc::kUnknownKind;
    }
    return entry;
  } catch (const json::exception&) {
    return DecodeErrc::kMalformed;
  }
}

Result<Snapshot> SnapshotFromJson(const std::string& text) {
  try {
    const json object = json::parse(text);
    Snapshot snapshot;
    object.at("index").get_to(snapshot.index);
    object.at("term").get_to(snapshot.term);
    snapshot.members = MembersFromJson(object.at("members"));
    object.at("state").get_to(snapshot.state);
    return snapshot;
  } catch (const json::exception&) {
    return DecodeErrc::kMalformed;
  }
}

}  // namespace violetwing
