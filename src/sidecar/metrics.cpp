#include "sidecar/metrics.hpp"

namespace violetwing::sidecar {

Metrics::Metrics(const std::vector<RequestClass>& classes) {
  for (const RequestClass& c : classes) {
    classes_.emplace_back();
    classes_.back().name = c.name;
  }
}

void Metrics::RequestEnded(int request_class, RequestOutcome outcome) {
  --pending_;
  PerClass& counts = classes_[static_cast<std::size_t>(request_class)];
  switch (outcome) {
    case RequestOutcome::kCompleted:
      ++counts.completed;
      return;
    case RequestOutcome::kRejected:
      ++counts.rejected;
      return;
    case RequestOutcome::kFailed:
      ++counts.failed;
      return;
  }
}

std::string Metrics::Text(const Membership& membership) const {
  std::string text;
  const auto line = [&](const std::string& name, auto value) {
    text += "sidecar." + name + "=" + std::to_string(value) + "\n";
  };
  for (const PerClass& c : classes_) {
    const std::string prefix = "downstream_requests." + c.name + ".";
    line(prefix + "completed", c.completed);
    line(prefix + "rejected", c.rejected);
    line(prefix + "failed", c.failed);
  }
  line("upstream_requests", upstream_requests_);
  line("pending", pending_);
  line("members", membership.members);
  line("members_unavailable", membership.unavailable);
  return text;
}

}  // namespace violetwing::sidecar
