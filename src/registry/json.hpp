// Entries and writes as JSON: of a list as the platform's protocol has it (PROTOCOL, "Discovery") with a few
// members more, of a write as docs/registry.md has it.
#ifndef VIOLETWING_REGISTRY_JSON_HPP_
#define VIOLETWING_REGISTRY_JSON_HPP_

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "registry/core.hpp"

namespace violetwing::registry {

// What is wrong with a text, in one line.
class JsonError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

const char* Name(Lifecycle lifecycle);

nlohmann::ordered_json ToJson(const Entry& entry);  // as readers are told; without the holder of its lease
// `stale`: this registry follows another one and has long heard nothing of it.
std::string ListText(const Owed& owed, const std::set<std::string>& preserving, bool stale);

// For followers, a line.
std::string ReplicaText(const Replica& replica);
Replica ParseReplica(const std::string& text);

// With the lease, for the store.
nlohmann::ordered_json ToStored(const Entry& entry);
Entry FromStored(const nlohmann::json& json);

// A write; throws JsonError for members that are unknown, missing or of another type.
Batch ParseBatch(const std::string& text);
struct Renewal {
  std::string id;
  std::string holder;
};
std::vector<Renewal> ParseRenewals(const std::string& text);

}  // namespace violetwing::registry

#endif  // VIOLETWING_REGISTRY_JSON_HPP_
