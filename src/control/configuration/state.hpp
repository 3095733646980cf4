// The replicated state of the shard that holds the configuration: its versions one after the other. Commands
// are applied in the order of the log and decide alike on every replica.
#ifndef VIOLETWING_CONTROL_CONFIGURATION_STATE_HPP_
#define VIOLETWING_CONTROL_CONFIGURATION_STATE_HPP_

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

class State {
 public:
  // A change that was taken before is taken again, also after later ones. One that builds upon a version
  // below the horizon of what is remembered is never refused: it may have been taken.
  Answer Apply(const Change& change);

  std::int64_t version() const { return version_; }
  // As the operator sent it, with later patches worked in; empty before the first.
  const std::string& document() const { return document_; }
  std::shared_ptr<const Configuration> current() const { return current_; }

  // The patches that lead from `version` to the one in force, for `ReadPatched`; nothing if they are not at
  // hand, or are longer than the document.
  std::optional<std::vector<std::string>> PatchesSince(std::int64_t version) const;

  // Bytes of documents that Apply has worked through since this was made.
  std::size_t worked() const { return worked_; }

  std::string Save() const;
  void Load(const std::string& saved);

 private:
  void Take(std::string document, ReadResult read);
  struct Worked {
    std::string text;
    ReadResult read;
    bool by_items = false;  // only the patch's own items were read
  };
  // What the change makes of the document, left in `items_` too.
  Worked Work(const Change& change, nlohmann::ordered_json sent);

  std::int64_t version_ = 0;
  std::string document_;
  nlohmann::ordered_json items_ = nlohmann::ordered_json::object();  // the document, read: reading it anew is
                                                                     // a third of the cost of a patch
  std::shared_ptr<const Configuration> current_;
  std::shared_ptr<const proto::Configuration> message_;
  std::size_t worked_ = 0;
  AcceptedChanges taken_;
  RecentPatches patches_;
};

}  // namespace violetwing::configuration

#endif  // VIOLETWING_CONTROL_CONFIGURATION_STATE_HPP_
