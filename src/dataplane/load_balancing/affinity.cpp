#include "dataplane/load_balancing/affinity.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "common/random.hpp"

namespace violetwing {
namespace {

// More than one, so that there is an alternative with a warm cache if one server is busy or ejected.
constexpr std::size_t kAffinityServers = 2;

// Hash of the weights and of all prompt parts but the last, which are those that prompts share.
std::uint64_t SharedPrefixHash(const RequestAttributes& attributes) {
  std::string key = attributes.WeightsKey();
  for (std::size_t i = 0; i + 1 < attributes.prompt_parts->size(); ++i)
    key += "," + (*attributes.prompt_parts)[i].id;
  return Hash(0, key);
}

}  // namespace

std::vector<const Instance*> AffinityServers(const std::vector<const Instance*>& candidates,
                                             const RequestAttributes& attributes) {
  if (attributes.prompt_parts == nullptr || attributes.prompt_parts->size() < 2) return {};
  const std::uint64_t seed = SharedPrefixHash(attributes);
  std::vector<std::pair<std::uint64_t, const Instance*>> ranked;
  ranked.reserve(candidates.size());
  for (const Instance* instance : candidates) ranked.emplace_back(Hash(seed, instance->id), instance);
  const std::size_t count = std::min(kAffinityServers, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
  std::vector<const Instance*> servers;
  for (std::size_t i = 0; i < count; ++i) servers.push_back(ranked[i].second);
  return servers;
}

}  // namespace violetwing
