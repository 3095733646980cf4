#include "state.hpp"

#include <algorithm>
#include <map>
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

void Upsert(Json& list, const Json& item) {
  const std::string name = NameOf(item);
  const auto at =
      std::find_if(list.begin(), list.end(), [&](const Json& old) { return NameOf(old) == name; });
  if (at == list.end())
    list.push_back(item);
  else
    *at = item;
}

// Works a patch into a document. Returns what is wrong with it; empty if nothing is.
std::string Patch(Json& document, const Json& patch) {
  if (!patch.is_object()) return "document: is not an object";
  const Json upsert = patch.value("upsert", Json::object());
  const Json remove = patch.value("delete", Json::object());
  if (!upsert.is_object()) return "upsert: is not an object";
  if (!remove.is_object()) return "delete: is not an object";
  for (const auto& [key, names] : remove.items()) {
    if (!names.is_array()) return "delete." + key + ": is not a list";
    if (!document.contains(key)) continue;
    if (!document[key].is_array()) return "delete." + key + ": is no list of items";
    for (const Json& name : names) {
      if (!name.is_string()) return "delete." + key + ": holds something that is not a name";
      Json& list = document[key];
      for (auto item = list.begin(); item != list.end();)
        item = NameOf(*item) == name.get<std::string>() ? list.erase(item) : std::next(item);
    }
  }
  for (const auto& [key, items] : upsert.items()) {
    if (!items.is_array()) {
      document[key] = items;  // not a list of items: replaced whole
      continue;
    }
    Json& list = document[key];
    if (list.is_null()) list = Json::array();
    if (!list.is_array()) return "upsert." + key + ": is no list of items";
    for (const Json& item : items) {
      if (NameOf(item).empty()) return "upsert." + key + ": an item has no name";
      Upsert(list, item);
    }
  }
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
  const std::string problem = Work(change, std::move(sent));
  std::string text;
  ReadResult read;
  if (problem.empty()) {
    text = items_.dump();
    worked_ += text.size();
    read = Read(text);
  }
  const bool taken = read.configuration != nullptr && read.configuration->version > version_;
  if (!taken) {
    items_ = version_ > 0 ? Json::parse(document_) : Json::object();
    if (!problem.empty()) return {Outcome::kInvalid, version_, problem};
    if (read.configuration == nullptr) return {Outcome::kInvalid, version_, ToText(read.findings)};
    return {Outcome::kInvalid, version_, "version: must be above " + std::to_string(version_)};
  }
  Take(std::move(text), std::move(read.configuration));
  taken_.Add(digest, version_);
  return {Outcome::kTaken, version_, {}};
}

std::string State::Work(const Change& change, Json sent) {
  if (change.patch) return Patch(items_, sent);
  items_ = std::move(sent);
  return {};
}

void State::Take(std::string document, std::shared_ptr<const Configuration> configuration) {
  version_ = configuration->version;
  document_ = std::move(document);
  current_ = std::move(configuration);
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
  taken_.Load(in.at("taken").get<std::map<std::string, std::int64_t>>(),
              in.value("horizon", std::int64_t{0}));  // earlier versions kept all
  std::string document = in.at("document").get<std::string>();
  if (document.empty()) return;
  items_ = Json::parse(document);
  ReadResult read = Read(document);
  if (read.configuration != nullptr) Take(std::move(document), std::move(read.configuration));
}

}  // namespace violetwing::configuration
