// Judges the outcomes of a soak by the users' rules LOST (RULES, Draining and shutdown, with the newer text
// of NEWS-22) and MIXED. All trouble of a soak is planned work, but for servers that send invalid responses.
#ifndef VIOLETWING_TESTS_NODE_SOAK_JUDGE_HPP_
#define VIOLETWING_TESTS_NODE_SOAK_JUDGE_HPP_

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <optional>
#include <string>
#include <vector>

#include "node/soak/client.hpp"
#include "node/soak/fleet.hpp"
#include "node/soak/model_server.hpp"

namespace violetwing::testing::soak {

/// `loss_slack_ms` of the sheets.
inline constexpr std::chrono::milliseconds kLossSlack{200};
/// A server may still be at work at the end of the grace period only on requests sent until then.
inline constexpr std::chrono::milliseconds kSentInTime{3000};
/// In the last sixth of the grace period.
inline constexpr std::chrono::milliseconds kLastSixth{kGrace * 5 / 6};
/// Time for the sidecar's own response before the client's deadline.
inline constexpr std::chrono::milliseconds kDeadlineMargin{100};

/// A lost request: what was seen, in one line. Empty if the rule holds for the outcome.
inline std::optional<std::string> FindLoss(const Outcome& outcome, const Machine& edge, const Runs& runs) {
  if (outcome.complete || outcome.timed_out || !outcome.sent_whole) return std::nullopt;
  const auto run = runs.find(outcome.id);
  const bool has_run = run != runs.end();
  const bool at_work = has_run && run->second.ended >= outcome.ended_at;
  if (!has_run && outcome.ended_at <= outcome.sent_at + kLossSlack) return std::nullopt;
  if (outcome.ended_at >= outcome.sent_at + outcome.deadline - kDeadlineMargin) return std::nullopt;
  std::optional<Clock::time_point> terminated_at;
  for (const Clock::time_point at : edge.all_terminations)
    if (at <= outcome.ended_at) terminated_at = at;
  const bool in_last_sixth = terminated_at && outcome.ended_at >= *terminated_at + kLastSixth;
  if (at_work && in_last_sixth && outcome.sent_at <= *terminated_at + kSentInTime) return std::nullopt;
  const auto since = [&](Clock::time_point at) {
    return terminated_at ? std::chrono::duration<double>(at - *terminated_at).count() : -1.0;
  };
  char text[256];
  std::snprintf(text, sizeof text, "%s at %s: sent %.3f s and cut %.3f s after SIGTERM, status %d, %s%s",
                outcome.id.c_str(), edge.name.c_str(), since(outcome.sent_at), since(outcome.ended_at),
                outcome.status,
                at_work   ? "server at work"
                : has_run ? "server done"
                          : "never at a server",
                outcome.in_chunks ? ", body in chunks" : "");
  return text;
}

/// An answer that a client must not get, by the users' rule MIXED: one that is no HTTP response, or that
/// holds what a server sent in such a message. Empty for any other outcome.
inline std::optional<std::string> FindInvalidAnswer(const Outcome& outcome) {
  const bool has_marker = outcome.body.find(kInvalidMarker) != std::string::npos;
  if (!outcome.malformed && !has_marker) return std::nullopt;
  return outcome.id + ": status " + std::to_string(outcome.status) +
         (outcome.malformed ? ", no HTTP response" : "") +
         (has_marker ? ", body of an invalid response" : "");
}

}  // namespace violetwing::testing::soak

#endif  // VIOLETWING_TESTS_NODE_SOAK_JUDGE_HPP_
