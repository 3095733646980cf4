#include "control/configuration/state.hpp"

#include <map>
#include <utility>

#include "control/configuration/document_patch.hpp"
#include "control/configuration/json_document.hpp"

namespace violetwing::configuration {
namespace {

// Preserves the order of the operator's fields.
using Json = nlohmann::ordered_json;

// Earlier versions serialized the document recursively, with 144 bytes of stack for each level. They ended on
// deeper documents than 8 MiB of stack allow, and thus have accepted none.
constexpr std::size_t kMaxDocumentDepth = std::size_t{8} * 1024 * 1024 / 144;

// Returns the reason why `read` cannot replace `version`; `nullopt` if it can.
std::optional<std::string> RejectionReason(const ReadResult& read, std::int64_t version) {
  if (read.configuration == nullptr) return ToText(read.findings);
  if (read.configuration->version <= version) return "version: must be above " + std::to_string(version);
  return std::nullopt;
}

}  // namespace

ChangeOutcome State::Apply(const Change& change) {
  const std::string digest = DigestOf(change);
  if (accepted_.Contains(digest)) return {ChangeStatus::kAccepted, version_, {}};
  if (change.base_version < accepted_.horizon())
    return {ChangeStatus::kUnknown, version_, "If-Match: so old that it cannot be told whether it was taken"};
  Json body = Json::parse(change.body, nullptr, /*allow_exceptions=*/false);
  if (body.is_discarded() || !body.is_object())
    return {ChangeStatus::kInvalid, version_, "document: cannot be read whole as a JSON object"};
  if (change.base_version != version_)
    return {ChangeStatus::kVersionConflict, version_,
            "If-Match: version " + std::to_string(version_) + " is in force"};
  Candidate candidate = MakeCandidate(change, std::move(body));
  if (std::optional<std::string> reason = RejectionReason(candidate.read, version_)) {
    json_ = version_ > 0 ? Json::parse(document_) : Json::object();
    return {ChangeStatus::kInvalid, version_, std::move(*reason)};
  }
  Install(std::move(candidate.document), std::move(candidate.read));
  if (candidate.read_by_patch)
    patches_.Add(change.base_version, version_, change.body);
  else
    patches_.Clear();
  accepted_.Add(digest, version_);
  return {ChangeStatus::kAccepted, version_, {}};
}

bool State::MayHaveAccepted(const Change& change) const {
  return change.base_version < accepted_.horizon() || accepted_.Contains(DigestOf(change));
}

State::Candidate State::Rejected(Finding finding) { return {{}, {nullptr, {std::move(finding)}, nullptr}}; }

State::Candidate State::MakeCandidate(const Change& change, Json body) {
  std::optional<ReadResult> read;
  if (change.patch) {
    if (message_ != nullptr) read = ReadPatched(*message_, {&body, 1});
    if (const std::optional<Finding> finding = ApplyToDocument(json_, std::move(body)))
      return Rejected({finding->code, "patch", ToText(*finding)});
  } else {
    json_ = std::move(body);
  }
  if (NestingDepth(json_) > kMaxDocumentDepth)
    return Rejected({FindingCode::kMalformed, "document", "nests too deeply"});
  std::string document = Serialize(json_);
  processed_bytes_ += document.size();
  if (read) return {std::move(document), std::move(*read), /*read_by_patch=*/true};
  ReadResult full_read = Read(document);
  return {std::move(document), std::move(full_read)};
}

std::optional<std::vector<std::string>> State::PatchesSince(std::int64_t version) const {
  std::optional<std::vector<std::string>> patches = patches_.Since(version);
  if (!patches) return std::nullopt;
  std::size_t bytes = 0;
  for (const std::string& patch : *patches) bytes += patch.size();
  if (bytes >= document_.size()) return std::nullopt;
  return patches;
}

void State::Install(std::string document, ReadResult read) {
  version_ = read.configuration->version;
  document_ = std::move(document);
  current_ = std::move(read.configuration);
  message_ = std::move(read.message);
}

nlohmann::json State::SaveObject() const {
  return {{"document", document_}, {"taken", accepted_.Save()}, {"horizon", accepted_.horizon()}};
}

bool State::Load(const std::string& saved) {
  const nlohmann::json object = nlohmann::json::parse(saved, nullptr, /*allow_exceptions=*/false);
  return !object.is_discarded() && LoadObject(object);
}

bool State::LoadObject(const nlohmann::json& saved) {
  try {
    return LoadDecoded(saved);
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

bool State::LoadDecoded(const nlohmann::json& saved) {
  document_.clear();
  json_ = Json::object();
  version_ = 0;
  current_.reset();
  message_.reset();
  patches_.Clear();
  // Snapshots of earlier versions have no horizon, because they contain all digests.
  accepted_.Load(saved.at("taken").get<std::map<std::string, std::int64_t>>(),
                 saved.value("horizon", std::int64_t{0}));
  std::string document = saved.at("document").get<std::string>();
  if (document.empty()) return true;
  json_ = Json::parse(document);
  ReadResult read = Read(document);
  if (read.configuration == nullptr && MergeNestedItems(json_)) {
    document = Serialize(json_);
    read = Read(document);
  }
  if (read.configuration == nullptr) return false;
  Install(std::move(document), std::move(read));
  return true;
}

}  // namespace violetwing::configuration
