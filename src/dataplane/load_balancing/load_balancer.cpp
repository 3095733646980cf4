#include "dataplane/load_balancing/load_balancer.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "dataplane/load_balancing/affinity.hpp"

namespace violetwing {
namespace {

// Large enough to offer a choice, small enough that connections and prefix caches are reused.
constexpr std::size_t kMaxWindow = 8;
constexpr int kRandomChoices = 2;
// Limit of the random picks made to find two usable servers, as servers of the window may be ejected.
constexpr int kMaxRandomPicks = 8;
// Capacity of the modeled prefix cache of one server: the part of the server's memory that this sidecar
// assumes to hold the prompts it knows of.
constexpr double kPrefixCacheTokens = 150'000;
// Servers of which something is known. Reports come as datagrams, whose sender is not known.
constexpr std::size_t kMaxServers = 4096;
// Prompts with at least this prefill time are reported to other sidecars immediately.
constexpr double kImmediateReportMs = 30;
// Keeps a report within one datagram; further prompts are not reported.
constexpr std::size_t kMaxReportedPrompts = 16;
// No prefill takes longer; reported prompts with a longer one are ignored.
constexpr double kMaxReportedPrefillMs = 60'000;

// Returns the candidates, rotated so that this sidecar's window comes first.
std::vector<const Instance*> RotateToWindow(const std::vector<const Instance*>& candidates,
                                            const Directory& directory) {
  const std::size_t offset =
      WindowOffset(directory.sidecar_index(), directory.sidecar_count(), candidates.size());
  std::vector<const Instance*> ring(candidates);
  std::rotate(ring.begin(), ring.begin() + static_cast<std::ptrdiff_t>(offset), ring.end());
  return ring;
}

}  // namespace

std::size_t WindowOffset(int sidecar_number, int sidecar_count, std::size_t ring_size) {
  if (ring_size == 0 || sidecar_count <= 0) return 0;
  return static_cast<std::size_t>(sidecar_number) * ring_size / static_cast<std::size_t>(sidecar_count) %
         ring_size;
}

// Tracks the server with the lowest cost for one request; among equal costs, the first one considered.
class LoadBalancer::CheapestServer {
 public:
  CheapestServer(LoadBalancer& load_balancer, const std::vector<const Instance*>& candidates,
                 const RequestAttributes& attributes, Micros now)
      : load_balancer_(load_balancer),
        attributes_(attributes),
        affinity_servers_(AffinityServers(candidates, attributes)),
        now_(now) {}

  bool MayAttempt(const Instance* instance) const {
    return load_balancer_.MayAttempt(*instance, attributes_, now_);
  }
  void Consider(const Instance* instance) {
    const bool has_affinity =
        std::find(affinity_servers_.begin(), affinity_servers_.end(), instance) != affinity_servers_.end();
    const double cost = load_balancer_.Cost(*instance, attributes_, has_affinity, now_);
    if (server_ != nullptr && cost >= cost_) return;
    server_ = instance;
    cost_ = cost;
  }
  void ConsiderIfUsable(const Instance* instance) {
    if (MayAttempt(instance)) Consider(instance);
  }

  const Instance* server() const { return server_; }
  const RequestAttributes& attributes() const { return attributes_; }
  const std::vector<const Instance*>& affinity_servers() const { return affinity_servers_; }

 private:
  LoadBalancer& load_balancer_;
  const RequestAttributes& attributes_;
  const std::vector<const Instance*> affinity_servers_;
  const Micros now_;
  const Instance* server_ = nullptr;
  double cost_ = 0;
};

void LoadBalancer::SetLocality(std::string zone, std::function<bool(const std::string& id)> has_connection) {
  zone_ = std::move(zone);
  has_connection_ = std::move(has_connection);
}

// ---- Picking a server ----

const Instance* LoadBalancer::PickServer(const std::vector<const Instance*>& candidates,
                                         const Directory& directory, const RequestAttributes& attributes,
                                         Micros now) {
  if (candidates.empty()) return nullptr;
  const std::vector<const Instance*> ring = RotateToWindow(candidates, directory);
  const std::size_t window = std::min(ring.size(), kMaxWindow);
  CheapestServer cheapest(*this, candidates, attributes, now);
  if (attributes.HasPromptParts()) ConsiderWindowAndAffinity(cheapest, ring, window);
  if (cheapest.server() == nullptr) ConsiderTwoRandom(cheapest, ring, window);
  // Falls back to servers outside the window, then to ejected ones.
  if (cheapest.server() == nullptr) ConsiderAll(cheapest, ring);
  if (cheapest.server() == nullptr) ConsiderEjected(cheapest, ring);
  return cheapest.server();
}

void LoadBalancer::ConsiderWindowAndAffinity(CheapestServer& cheapest,
                                             const std::vector<const Instance*>& ring, std::size_t window) {
  for (std::size_t i = 0; i < window; ++i) cheapest.ConsiderIfUsable(ring[i]);
  for (const Instance* instance : cheapest.affinity_servers()) cheapest.ConsiderIfUsable(instance);
}

void LoadBalancer::ConsiderTwoRandom(CheapestServer& cheapest, const std::vector<const Instance*>& ring,
                                     std::size_t window) {
  int found = 0;
  for (int pick = 0; pick < kMaxRandomPicks && found < kRandomChoices; ++pick) {
    const Instance* instance = ring[random_.Below(window)];
    if (instance == cheapest.server() || !cheapest.MayAttempt(instance)) continue;
    ++found;
    cheapest.Consider(instance);
  }
}

void LoadBalancer::ConsiderAll(CheapestServer& cheapest, const std::vector<const Instance*>& ring) {
  for (const Instance* instance : ring) cheapest.ConsiderIfUsable(instance);
}

void LoadBalancer::ConsiderEjected(CheapestServer& cheapest, const std::vector<const Instance*>& ring) {
  const std::string weights_key = cheapest.attributes().WeightsKey();
  for (const Instance* instance : ring) {
    if (cheapest.attributes().HasAttempted(instance->id)) continue;
    if (servers_[instance->id].HasNeverLackedModel(weights_key)) cheapest.Consider(instance);
  }
}

bool LoadBalancer::MayAttempt(const Instance& instance, const RequestAttributes& attributes, Micros now) {
  if (attributes.HasAttempted(instance.id)) return false;
  return servers_[instance.id].IsUsable(attributes.WeightsKey(), now);
}

double LoadBalancer::Cost(const Instance& instance, const RequestAttributes& attributes, bool has_affinity,
                          Micros now) {
  const UpstreamServerState& server = servers_[instance.id];
  CostFactors factors;
  factors.has_affinity = has_affinity;
  factors.has_connection = !has_connection_ || has_connection_(instance.id);
  factors.in_own_zone = zone_.empty() || instance.zone == zone_;
  if (!attributes.HasPromptParts()) return InFlightCost(server, instance, factors, now);
  factors.queued_prefill_ms = prefill_queue_.RemainingMs(instance.id, now);
  factors.ms_per_token = prefill_estimate_.MsPerToken(attributes.model);
  return PrefillCostMs(server, attributes, factors, now);
}

// ---- Attempt events ----

void LoadBalancer::OnSent(const std::string& id, RequestAttributes& attributes, Micros now) {
  UpstreamServerState& server = servers_[id];
  server.OnSent(now);
  attributes.sent_at = now;
  if (attributes.prompt_parts == nullptr) return;
  const std::string weights_key = attributes.WeightsKey();
  const double cached = server.prefix_cache().CachedTokens(weights_key, *attributes.prompt_parts);
  attributes.uncached_prompt_tokens = std::max(0.0, attributes.prompt_tokens - cached);
  attributes.uncached_prefill_ms =
      attributes.uncached_prompt_tokens * prefill_estimate_.MsPerToken(attributes.model);
  attributes.queued_prefill_ms = prefill_queue_.RemainingMs(id, now);
  prefill_queue_.Enqueue(id, attributes.uncached_prefill_ms, now);
  server.prefix_cache().Insert(weights_key, *attributes.prompt_parts, kPrefixCacheTokens);
  AddToReport(id, attributes);
}

void LoadBalancer::OnLoadReported(const std::string& id, const ServerLoad& load, Micros now) {
  servers_[id].OnLoadReported(load, now);
}

void LoadBalancer::OnFirstByte(const std::string& id, const RequestAttributes& attributes, FirstByteKind kind,
                               Micros now) {
  servers_[id].OnFirstByte(now);
  if (attributes.prompt_parts == nullptr || kind != FirstByteKind::kExecuting) return;
  prefill_queue_.OnPrefillDone(id, attributes.sent_at, now);
  prefill_estimate_.OnFirstByte(attributes, now);
}

void LoadBalancer::OnEnd(const std::string& id, AttemptResult result, const RequestAttributes& attributes,
                         bool first_byte_received, Micros now) {
  servers_[id].OnEnd(result, attributes.WeightsKey(), first_byte_received, now);
}

void LoadBalancer::RemoveUnlistedServers(const Directory& directory, Micros now) {
  prefill_queue_.RemoveExpired(now);
  std::erase_if(servers_, [&](const auto& entry) {
    return entry.second.in_flight() == 0 && directory.Find(entry.first) == nullptr;
  });
}

int LoadBalancer::InFlight(const std::string& id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? 0 : it->second.in_flight();
}

// ---- Load reports between sidecars ----

void LoadBalancer::SetOnReportPending(std::function<void(ReportUrgency)> on_report_pending) {
  on_report_pending_ = std::move(on_report_pending);
}

void LoadBalancer::AddToReport(const std::string& id, const RequestAttributes& attributes) {
  if (!on_report_pending_ || unreported_prompts_.size() >= kMaxReportedPrompts) return;
  SentPrompt prompt;
  prompt.server = id;
  prompt.weights = attributes.WeightsKey();
  prompt.parts = FormatPromptParts(*attributes.prompt_parts);
  prompt.read_ms = std::round(attributes.uncached_prefill_ms);
  unreported_prompts_.push_back(std::move(prompt));
  const bool immediate = attributes.uncached_prefill_ms >= kImmediateReportMs;
  on_report_pending_(immediate ? ReportUrgency::kImmediate : ReportUrgency::kDeferred);
}

LoadReport LoadBalancer::TakeReport() {
  LoadReport report;
  report.prompts = std::exchange(unreported_prompts_, {});
  return report;
}

void LoadBalancer::OnPeerReport(const LoadReport& report, Micros now) {
  for (const SentPrompt& prompt : report.prompts) {
    const bool plausible = prompt.read_ms >= 0 && prompt.read_ms <= kMaxReportedPrefillMs;
    if (!plausible) continue;  // also skips NaN
    const bool is_new = servers_.find(prompt.server) == servers_.end();
    if (is_new && servers_.size() >= kMaxServers) continue;
    prefill_queue_.Enqueue(prompt.server, prompt.read_ms * sidecars_per_report_, now);
    servers_[prompt.server].prefix_cache().Insert(prompt.weights, ParsePromptParts(prompt.parts),
                                                  kPrefixCacheTokens);
  }
}

}  // namespace violetwing
