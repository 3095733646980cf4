// The replicated state machine of the configuration shard: applies changes and holds the current version.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_STATE_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_STATE_HPP_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "control/configuration/accepted_changes.hpp"
#include "control/configuration/change.hpp"
#include "control/configuration/reader.hpp"
#include "control/configuration/recent_patches.hpp"

namespace violetwing::configuration {

/// Applies changes in log order, with the same outcome on every replica. Not thread-safe.
class State {
 public:
  /// Applies a change (RULES.md, "Configuration"); never throws, whatever its body is. A retry of an accepted
  /// change is accepted again without effect, even after later changes. A change based on a version below the
  /// horizon of the accepted changes is never rejected, because it may have been accepted before; its status
  /// is `kUnknown`.
  ChangeOutcome Apply(const Change& change);

  /// Returns whether the change was accepted, or is so old that it may have been.
  bool MayHaveAccepted(const Change& change) const;

  /// The current version; 0 before the first one.
  std::int64_t version() const { return version_; }
  /// The document as the operator sent it, with later patches applied; empty before the first version.
  const std::string& document() const { return document_; }
  /// The document in parsed form; an empty object before the first version.
  const nlohmann::ordered_json& document_object() const { return json_; }
  /// The current configuration; null before the first version.
  std::shared_ptr<const Configuration> current() const { return current_; }

  /// Returns the patches from `version` to the current version, for `ReadPatched`; `nullopt` if they are not
  /// available or not shorter than the document.
  std::optional<std::vector<std::string>> PatchesSince(std::int64_t version) const;

  /// Total size in bytes of the documents that `Apply` has processed.
  std::size_t processed_bytes() const { return processed_bytes_; }

  /// Returns the state as an object for a snapshot. Callers may add other members.
  nlohmann::json SaveObject() const;
  /// Restores a saved state, also one saved by an earlier version of this program. Returns false if it cannot
  /// be read or if this version rejects its document; the state is then unspecified.
  [[nodiscard]] bool LoadObject(const nlohmann::json& saved);
  /// Save and restore the state as JSON text, like `SaveObject` and `LoadObject`.
  std::string Save() const { return SaveObject().dump(); }
  [[nodiscard]] bool Load(const std::string& saved);

 private:
  // The document that results from a change, before it takes effect.
  struct Candidate {
    std::string document;
    ReadResult read;
    bool read_by_patch = false;  // the configuration was read by parsing the patch alone
  };
  static Candidate Rejected(Finding finding);
  // Also modifies `json_`; the caller must restore it if the candidate is rejected.
  Candidate MakeCandidate(const Change& change, nlohmann::ordered_json body);
  void Install(std::string document, ReadResult read);
  // Throws nlohmann::json::exception.
  bool LoadDecoded(const nlohmann::json& saved);

  std::int64_t version_ = 0;
  std::string document_;
  // `document_` in parsed form. Parsing it again for each patch would take a third of the cost of a patch.
  nlohmann::ordered_json json_ = nlohmann::ordered_json::object();
  std::shared_ptr<const Configuration> current_;
  std::shared_ptr<const proto::Configuration> message_;
  std::size_t processed_bytes_ = 0;
  AcceptedChanges accepted_;
  RecentPatches patches_;
};

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_STATE_HPP_
