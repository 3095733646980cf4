#include "control/configuration/document_patch.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "control/configuration/json_document.hpp"

namespace violetwing::configuration {
namespace {

using Json = nlohmann::ordered_json;

// The members that configuration.proto reads as lists of named items.
constexpr std::array<const char*, 3> kItemLists = {"routes", "backends", "tenants"};

bool IsItemList(const std::string& key) {
  return std::find(kItemLists.begin(), kItemLists.end(), key) != kItemLists.end();
}

// Moves the items of lists within `list` into `list` itself, in order, as protocol buffers read them. Returns
// whether there were such lists.
bool Flatten(Json& list) {
  auto& items = list.get_ref<Json::array_t&>();
  if (std::none_of(items.begin(), items.end(), [](const Json& item) { return item.is_array(); }))
    return false;
  std::vector<Json> pending(std::make_move_iterator(items.rbegin()), std::make_move_iterator(items.rend()));
  items.clear();
  while (!pending.empty()) {
    Json next = std::move(pending.back());
    pending.pop_back();
    if (!next.is_array()) {
      items.push_back(std::move(next));
      continue;
    }
    auto& inner = next.get_ref<Json::array_t&>();
    pending.insert(pending.end(), std::make_move_iterator(inner.rbegin()),
                   std::make_move_iterator(inner.rend()));
  }
  return true;
}

// Returns the name of an item; empty if it has none.
std::string NameOf(const Json& item) {
  const auto name = item.is_object() ? item.find("name") : item.end();
  return item.is_object() && name != item.end() && name->is_string() ? name->get<std::string>()
                                                                     : std::string();
}

// Maps the names of a list's items to their indexes.
std::unordered_map<std::string, std::size_t> IndexesOf(const Json& list) {
  std::unordered_map<std::string, std::size_t> indexes;
  indexes.reserve(list.size());
  for (std::size_t i = 0; i < list.size(); ++i) indexes.emplace(NameOf(list[i]), i);
  return indexes;
}

std::optional<Finding> Upsert(Json& list, Json& items, const std::string& key) {
  std::unordered_map<std::string, std::size_t> indexes = IndexesOf(list);
  for (Json& item : items) {
    const std::string name = NameOf(item);
    if (name.empty()) return Finding{FindingCode::kMissing, "upsert." + key, "an item has no name"};
    const auto [entry, added] = indexes.emplace(name, list.size());
    if (added)
      list.push_back(std::move(item));
    else
      list[entry->second] = std::move(item);
  }
  return std::nullopt;
}

std::optional<Finding> Remove(Json& list, const Json& names, const std::string& key) {
  std::unordered_set<std::string> removed;
  for (const Json& name : names) {
    if (!name.is_string())
      return Finding{FindingCode::kMalformed, "delete." + key, "holds something that is not a name"};
    removed.insert(name.get<std::string>());
  }
  if (removed.empty()) return std::nullopt;
  auto& items = list.get_ref<Json::array_t&>();
  std::erase_if(items, [&](const Json& item) { return removed.count(NameOf(item)) > 0; });
  return std::nullopt;
}

std::optional<Finding> RemoveAll(Json& document, const Json& remove) {
  if (!remove.is_object()) return Finding{FindingCode::kMalformed, "delete", "is not an object"};
  for (const auto& [key, names] : remove.items()) {
    if (!names.is_array()) return Finding{FindingCode::kMalformed, "delete." + key, "is not a list"};
    if (!document.contains(key)) continue;
    if (!document[key].is_array())
      return Finding{FindingCode::kMalformed, "delete." + key, "is no list of items"};
    if (IsItemList(key)) Flatten(document[key]);
    if (auto finding = Remove(document[key], names, key)) return finding;
  }
  return std::nullopt;
}

std::optional<Finding> UpsertAll(Json& document, Json& upsert) {
  for (const auto& member : upsert.items()) {
    const std::string& key = member.key();
    Json& items = member.value();
    if (!items.is_array()) {
      document[key] = std::move(items);  // not a list of items: replaces the previous value
      continue;
    }
    Json& list = document[key];
    if (list.is_null()) list = Json::array();
    if (!list.is_array()) return Finding{FindingCode::kMalformed, "upsert." + key, "is no list of items"};
    if (IsItemList(key)) Flatten(list);
    if (auto finding = Upsert(list, items, key)) return finding;
  }
  return std::nullopt;
}

}  // namespace

bool MergeNestedItems(Json& document) {
  bool changed = false;
  for (const char* key : kItemLists) {
    const auto list = document.find(key);
    if (list == document.end() || !list->is_array() || !Flatten(*list)) continue;
    Json items = std::exchange(*list, Json::array());
    if (Upsert(*list, items, key)) return false;
    changed = true;
  }
  return changed;
}

std::optional<Finding> ApplyToDocument(Json& document, Json patch) {
  if (!patch.is_object()) return Finding{FindingCode::kMalformed, "document", "is not an object"};
  Json& upsert = patch.emplace("upsert", Json::object()).first.value();
  if (!upsert.is_object()) return Finding{FindingCode::kMalformed, "upsert", "is not an object"};
  if (auto finding = RemoveAll(document, MemberOrEmptyObject(patch, "delete"))) return finding;
  if (auto finding = UpsertAll(document, upsert)) return finding;
  if (!patch.contains("version")) return Finding{FindingCode::kMissing, "version", "is missing"};
  document["version"] = patch["version"];
  return std::nullopt;
}

}  // namespace violetwing::configuration
