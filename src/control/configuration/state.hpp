// The replicated state machine of the shard that holds the configuration: one version after the other.
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

/// Changes are applied in the order of the log and have the same outcome on every replica. Not thread-safe.
class State {
 public:
  /// Applies a change (RULES.md, "Configuration"). A change that was accepted before is accepted again
  /// without effect, also after later ones. One that builds upon a version below the horizon of the accepted
  /// changes is never refused, since it may have been accepted: its status is `kUnknown`.
  ChangeOutcome Apply(const Change& change);

  /// The version in force; 0 before the first.
  std::int64_t version() const { return version_; }
  /// The document as the operator sent it, with later patches applied; empty before the first.
  const std::string& document() const { return document_; }
  /// The same, parsed; an empty object before the first.
  const nlohmann::ordered_json& document_object() const { return json_; }
  /// The configuration in force; null before the first.
  std::shared_ptr<const Configuration> current() const { return current_; }

  /// The patches that lead from `version` to the one in force, for `ReadPatched`; `nullopt` if they are not
  /// kept, or are no shorter than the document.
  std::optional<std::vector<std::string>> PatchesSince(std::int64_t version) const;

  /// Total size of the documents that `Apply` has processed.
  std::size_t processed_bytes() const { return processed_bytes_; }

  /// The state, for a snapshot: an object, to which other members may be added.
  nlohmann::json SaveObject() const;
  /// Restores a saved state, also of earlier versions of this program. False if it cannot be read, or if its
  /// document is one that this version refuses; the state is then unspecified.
  [[nodiscard]] bool LoadObject(const nlohmann::json& saved);
  /// The same as text.
  std::string Save() const { return SaveObject().dump(); }
  [[nodiscard]] bool Load(const std::string& saved);

 private:
  // A document that a change leads to, not yet in force.
  struct Candidate {
    std::string document;
    ReadResult read;
    bool read_by_patch = false;  // only the patch was parsed
  };
  // Leaves the candidate's document in `json_` too.
  Candidate MakeCandidate(const Change& change, nlohmann::ordered_json body);
  void Install(std::string document, ReadResult read);
  // Throws nlohmann::json::exception.
  bool LoadDecoded(const nlohmann::json& saved);

  std::int64_t version_ = 0;
  std::string document_;
  // `document_` parsed: parsing it anew is a third of the cost of a patch.
  nlohmann::ordered_json json_ = nlohmann::ordered_json::object();
  std::shared_ptr<const Configuration> current_;
  std::shared_ptr<const proto::Configuration> message_;
  std::size_t processed_bytes_ = 0;
  AcceptedChanges accepted_;
  RecentPatches patches_;
};

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_STATE_HPP_
