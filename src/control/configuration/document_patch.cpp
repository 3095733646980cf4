#include "control/configuration/document_patch.hpp"

#include <algorithm>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "control/configuration/json_document.hpp"

namespace violetwing::configuration {
namespace {

using Json = nlohmann::ordered_json;

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
    if (auto finding = Upsert(list, items, key)) return finding;
  }
  return std::nullopt;
}

}  // namespace

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
