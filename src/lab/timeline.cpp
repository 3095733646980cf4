#include "lab/timeline.hpp"

#include <memory>
#include <utility>

namespace violetwing::lab {

Timeline::Timeline(asio::io_context& io, const Clock& clock, const Scenario& scenario, Records& records,
                   Journal& journal, Apply apply)
    : io_(io),
      clock_(clock),
      scenario_(scenario),
      records_(records),
      journal_(journal),
      apply_(std::move(apply)) {
  for (std::size_t i = 0; i < scenario.faults.size(); ++i)
    records.faults.push_back({static_cast<int>(i), kNever, kNever});
}

void Timeline::At(Micros time, std::function<void()> act) {
  auto timer = std::make_shared<asio::steady_timer>(io_, clock_.At(time));
  timer->async_wait([timer, act = std::move(act)](ErrorCode error) {
    if (!error) act();
  });
}

void Timeline::Start() {
  for (std::size_t i = 0; i < scenario_.faults.size(); ++i) {
    const Fault& fault = scenario_.faults[i];
    const Micros wait = fault.at ? *fault.at : fault.wait;
    if (fault.after.empty() && !fault.at_request)
      At(clock_.load_begin() + wait, [this, i] { Begin(static_cast<int>(i)); });
  }
}

// A number whose client found no connection is passed by the next one that is sent.
void Timeline::OnSent(std::size_t arrival) {
  for (std::size_t i = 0; i < scenario_.faults.size(); ++i) {
    const auto& at = scenario_.faults[i].at_request;
    if (at && arrival >= static_cast<std::size_t>(*at)) Begin(static_cast<int>(i));
  }
}

void Timeline::Begin(int fault) {
  const auto at = static_cast<std::size_t>(fault);
  if (stopped_ || records_.faults[at].begun != kNever) return;
  const Fault& spec = scenario_.faults[at];
  records_.faults[at].begun = clock_.Now();
  journal_.Note("fault", "begins", {{"fault", spec.name}, {"do", spec.act_text}});
  if (spec.lasts) At(clock_.Now() + *spec.lasts, [this, fault] { End(fault); });
  apply_(fault, true, [this, fault] { End(fault); });
  Follow(spec, false);
}

void Timeline::End(int fault) {
  const auto at = static_cast<std::size_t>(fault);
  const Fault& spec = scenario_.faults[at];
  if (records_.faults[at].ended != kNever) return;
  records_.faults[at].ended = clock_.Now();
  journal_.Note("fault", "ends", {{"fault", spec.name}});
  if (spec.lasts) apply_(fault, false, {});
  Follow(spec, true);
}

void Timeline::Follow(const Fault& fault, bool ended) {
  for (std::size_t i = 0; i < scenario_.faults.size(); ++i) {
    const Fault& next = scenario_.faults[i];
    if (next.after != fault.name || next.after_end != ended) continue;
    At(clock_.Now() + next.wait, [this, i] { Begin(static_cast<int>(i)); });
  }
}

}  // namespace violetwing::lab
