#include "control/configuration/message_patch.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "control/configuration/json_document.hpp"
#include "control/configuration/parser.hpp"
#include "generated/configuration.pb.h"

namespace violetwing::configuration {
namespace {

using Json = nlohmann::ordered_json;

constexpr const char* kRoutes = "routes";
constexpr const char* kBackends = "backends";
constexpr const char* kTenants = "tenants";
constexpr const char* kLimits = "limits";

// Returns whether all members of the patch's `upsert` can be merged into the message item by item.
bool IsMergeable(const Json& upsert) {
  if (!upsert.is_object()) return false;
  for (const auto& [key, items] : upsert.items()) {
    const bool is_list = key == kRoutes || key == kBackends || key == kTenants;
    if (is_list ? !items.is_array() : key != kLimits || !items.is_object()) return false;
  }
  return true;
}

// Returns a document of the patch's items and version. The keys are those that IsMergeable allows.
std::string ToDocumentText(const Json& upsert, const Json& version) {
  std::string text = "{\"version\":" + Serialize(version);
  for (const auto& [key, items] : upsert.items()) text += ",\"" + key + "\":" + Serialize(items);
  return text + "}";
}

// Reads the names in a list of the patch's `delete`; empty if it holds something that is not a name.
std::optional<std::set<std::string>> ReadNames(const Json& remove, const char* list) {
  std::set<std::string> names;
  const auto items = remove.find(list);
  if (items == remove.end()) return names;
  if (!items->is_array()) return std::nullopt;
  for (const Json& name : *items) {
    if (!name.is_string()) return std::nullopt;
    names.insert(name.get<std::string>());
  }
  return names;
}

template <class Item>
void Remove(google::protobuf::RepeatedPtrField<Item>& list, const std::set<std::string>& removed) {
  if (removed.empty()) return;
  const auto end = std::remove_if(list.begin(), list.end(),
                                  [&](const Item& item) { return removed.count(item.name()) > 0; });
  list.DeleteSubrange(static_cast<int>(end - list.begin()), static_cast<int>(list.end() - end));
}

template <class Item>
void Upsert(google::protobuf::RepeatedPtrField<Item>& list,
            const google::protobuf::RepeatedPtrField<Item>& items) {
  if (items.empty()) return;
  std::unordered_map<std::string_view, int> indexes;
  indexes.reserve(static_cast<std::size_t>(list.size()) + static_cast<std::size_t>(items.size()));
  for (int i = 0; i < list.size(); ++i) indexes.emplace(list.Get(i).name(), i);
  for (const Item& item : items) {
    const auto [entry, added] = indexes.emplace(item.name(), list.size());
    if (added)
      *list.Add() = item;
    else
      *list.Mutable(entry->second) = item;
  }
}

}  // namespace

MessagePatchResult ApplyToMessage(proto::Configuration& message, const Json& patch) {
  if (!patch.is_object() || !patch.contains("version")) return MessagePatchResult::kNotMergeable;
  const Json& upsert = MemberOrEmptyObject(patch, "upsert");
  const Json& remove = MemberOrEmptyObject(patch, "delete");
  if (!IsMergeable(upsert) || !remove.is_object()) return MessagePatchResult::kNotMergeable;
  proto::Configuration changed;
  // The finding is dropped: parsing the complete document reports it with its path.
  if (ParseMessage(ToDocumentText(upsert, patch["version"]), changed))
    return MessagePatchResult::kNotMergeable;
  const auto removed_routes = ReadNames(remove, kRoutes);
  const auto removed_backends = ReadNames(remove, kBackends);
  const auto removed_tenants = ReadNames(remove, kTenants);
  if (!removed_routes || !removed_backends || !removed_tenants) return MessagePatchResult::kInvalidNames;
  message.set_version(changed.version());
  Remove(*message.mutable_routes(), *removed_routes);
  Remove(*message.mutable_backends(), *removed_backends);
  Remove(*message.mutable_tenants(), *removed_tenants);
  Upsert(*message.mutable_routes(), changed.routes());
  Upsert(*message.mutable_backends(), changed.backends());
  Upsert(*message.mutable_tenants(), changed.tenants());
  if (changed.has_limits()) *message.mutable_limits() = changed.limits();
  return MessagePatchResult::kApplied;
}

}  // namespace violetwing::configuration
