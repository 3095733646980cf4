#include "control/configuration/state.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace violetwing::configuration {
namespace {

// Keeps the order of the operator's fields.
using Json = nlohmann::ordered_json;

std::string NameOf(const Json& item) {
  const auto name = item.is_object() ? item.find("name") : item.end();
  return item.is_object() && name != item.end() && name->is_string() ? name->get<std::string>()
                                                                     : std::string();
}

// The places of a list's items by their names.
std::unordered_map<std::string, std::size_t> PlacesOf(const Json& list) {
  std::unordered_map<std::string, std::size_t> places;
  places.reserve(list.size());
  for (std::size_t at = 0; at < list.size(); ++at) places.emplace(NameOf(list[at]), at);
  return places;
}

// Returns what is wrong; empty if nothing is.
std::string Upsert(Json& list, const Json& items, const std::string& key) {
  std::unordered_map<std::string, std::size_t> places = PlacesOf(list);
  for (const Json& item : items) {
    const std::string name = NameOf(item);
    if (name.empty()) return "upsert." + key + ": an item has no name";
    const auto [place, added] = places.emplace(name, list.size());
    if (added)
      list.push_back(item);
    else
      list[place->second] = item;
  }
  return {};
}

std::string Remove(Json& list, const Json& names, const std::string& key) {
  std::unordered_set<std::string> gone;
  for (const Json& name : names) {
    if (!name.is_string()) return "delete." + key + ": holds something that is not a name";
    gone.insert(name.get<std::string>());
  }
  if (gone.empty()) return {};
  auto& items = list.get_ref<Json::array_t&>();
  std::erase_if(items, [&](const Json& item) { return gone.count(NameOf(item)) > 0; });
  return {};
}

const Json& Part(const Json& patch, const char* key) {
  static const Json kNothing = Json::object();
  const auto part = patch.find(key);
  return part == patch.end() ? kNothing : *part;
}

std::string RemoveAll(Json& document, const Json& remove) {
  if (!remove.is_object()) return "delete: is not an object";
  for (const auto& [key, names] : remove.items()) {
    if (!names.is_array()) return "delete." + key + ": is not a list";
    if (!document.contains(key)) continue;
    if (!document[key].is_array()) return "delete." + key + ": is no list of items";
    if (std::string problem = Remove(document[key], names, key); !problem.empty()) return problem;
  }
  return {};
}

std::string UpsertAll(Json& document, const Json& upsert) {
  for (const auto& [key, items] : upsert.items()) {
    if (!items.is_array()) {
      document[key] = items;  // not a list of items: replaced whole
      continue;
    }
    Json& list = document[key];
    if (list.is_null()) list = Json::array();
    if (!list.is_array()) return "upsert." + key + ": is no list of items";
    if (std::string problem = Upsert(list, items, key); !problem.empty()) return problem;
  }
  return {};
}

// Works a patch into a document. Returns what is wrong with it; empty if nothing is.
std::string Patch(Json& document, const Json& patch) {
  if (!patch.is_object()) return "document: is not an object";
  const Json& upsert = Part(patch, "upsert");
  if (!upsert.is_object()) return "upsert: is not an object";
  if (std::string problem = RemoveAll(document, Part(patch, "delete")); !problem.empty()) return problem;
  if (std::string problem = UpsertAll(document, upsert); !problem.empty()) return problem;
  if (!patch.contains("version")) return "version: is missing";
  document["version"] = patch["version"];
  return {};
}

}  // namespace

Answer State::Apply(const Change& change) {
  const std::string digest = DigestOf(change);
  if (taken_.Contains(digest)) return {Outcome::kTaken, version_, {}};
  if (change.base < taken_.horizon())
    return {Outcome::kUnknown, version_, "If-Match: so old that it cannot be told whether it was taken"};
  Json sent = Json::parse(change.body, nullptr, /*allow_exceptions=*/false);
  if (sent.is_discarded() || !sent.is_object())
    return {Outcome::kInvalid, version_, "document: cannot be read whole as a JSON object"};
  if (change.base != version_)
    return {Outcome::kConflict, version_, "If-Match: version " + std::to_string(version_) + " is in force"};
  auto [text, read, by_items] = Work(change, std::move(sent));
  if (read.configuration == nullptr || read.configuration->version <= version_) {
    items_ = version_ > 0 ? Json::parse(document_) : Json::object();
    const std::string old = "version: must be above " + std::to_string(version_);
    return {Outcome::kInvalid, version_, read.configuration == nullptr ? ToText(read.findings) : old};
  }
  Take(std::move(text), std::move(read));
  if (by_items)
    patches_.Add(change.base, version_, change.body);
  else
    patches_.Clear();
  taken_.Add(digest, version_);
  return {Outcome::kTaken, version_, {}};
}

State::Worked State::Work(const Change& change, Json sent) {
  std::optional<ReadResult> read;
  if (change.patch) {
    const std::string problem = Patch(items_, sent);
    if (!problem.empty()) return {{}, {nullptr, {{"patch", problem}}, nullptr}};
    if (message_ != nullptr) read = ReadPatched(*message_, {sent});
  } else {
    items_ = std::move(sent);
  }
  std::string text = items_.dump();
  worked_ += text.size();
  if (read) return {std::move(text), std::move(*read), /*by_items=*/true};
  ReadResult whole = Read(text);
  return {std::move(text), std::move(whole)};
}

std::optional<std::vector<std::string>> State::PatchesSince(std::int64_t version) const {
  std::optional<std::vector<std::string>> patches = patches_.Since(version);
  if (!patches) return std::nullopt;
  std::size_t bytes = 0;
  for (const std::string& patch : *patches) bytes += patch.size();
  if (bytes >= document_.size()) return std::nullopt;
  return patches;
}

void State::Take(std::string document, ReadResult read) {
  version_ = read.configuration->version;
  document_ = std::move(document);
  current_ = std::move(read.configuration);
  message_ = std::move(read.message);
}

std::string State::Save() const {
  return nlohmann::json{{"document", document_}, {"taken", taken_.Save()}, {"horizon", taken_.horizon()}}
      .dump();
}

void State::Load(const std::string& saved) {
  const nlohmann::json in = nlohmann::json::parse(saved);
  document_.clear();
  items_ = Json::object();
  version_ = 0;
  current_.reset();
  message_.reset();
  patches_.Clear();
  taken_.Load(in.at("taken").get<std::map<std::string, std::int64_t>>(),
              in.value("horizon", std::int64_t{0}));  // earlier versions kept all
  std::string document = in.at("document").get<std::string>();
  if (document.empty()) return;
  items_ = Json::parse(document);
  ReadResult read = Read(document);
  if (read.configuration != nullptr) Take(std::move(document), std::move(read));
}

}  // namespace violetwing::configuration
