#include "control/api/handlers.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace violetwing {
namespace {

using nlohmann::json;

constexpr const char* kConfigurationPath = "/api/configuration";
constexpr const char* kInstancesPath = "/api/instances/";

http::Response Done() { return {200, "{}", {}}; }

http::Response Problem(int status, const std::string& problem) {
  return {status, json{{"error", problem}}.dump(), {}};
}

http::Response Unavailable(const std::string& problem) {
  http::Response response = Problem(503, problem);
  response.headers.emplace_back("Retry-After", "0.2");
  return response;
}

http::Response NotFound(const http::Request& request) {
  return Problem(404, "there is nothing at " + request.method + " " + request.path);
}

// `"7"`, `7` or nothing: the version that a change builds upon.
bool ParseIfMatch(const std::string& text, std::int64_t& out) {
  std::string digits = text;
  std::erase_if(digits, [](char c) { return c == '"' || c == ' '; });
  out = 0;
  if (digits.empty()) return true;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), out);
  return error == std::errc() && end == digits.data() + digits.size() && out >= 0;
}

int StatusOf(configuration::ChangeStatus status) {
  switch (status) {
    case configuration::ChangeStatus::kAccepted:
      return 200;
    case configuration::ChangeStatus::kVersionConflict:
      return 412;
    case configuration::ChangeStatus::kUnknown:
      return 503;
    case configuration::ChangeStatus::kInvalid:
      break;
  }
  return 400;
}

ControlCore::AcceptanceCallback AcceptanceAnswer(const http::Answer& answer) {
  return [answer](ControlCore::Acceptance acceptance) {
    answer(acceptance == ControlCore::Acceptance::kAccepted ? Done()
                                                            : Unavailable("no quorum has taken it yet"));
  };
}

void HandleHeartbeat(ControlCore& core, const std::string& id, const std::string& body, Micros now,
                     const http::Answer& answer) {
  Instance instance;
  bool draining = false;
  try {
    const json in = json::parse(body);
    draining = in.value("phase", std::string("ready")) == "draining";
    instance = in.get<Instance>();
  } catch (const json::exception& error) {
    return answer(Problem(400, error.what()));
  }
  if (instance.backend.empty() || instance.address.empty())
    return answer(Problem(400, "backend or address is missing"));
  instance.id = id;
  core.Heartbeat(std::move(instance), draining, now, AcceptanceAnswer(answer));
}

void HandleChange(ControlCore& core, const http::Request& request, Micros now, const http::Answer& answer) {
  configuration::Change change;
  change.patch = request.method == "PATCH";
  if (!ParseIfMatch(request.if_match, change.base_version))
    return answer(Problem(400, "If-Match: is no version"));
  // What cannot be read is refused here: the log holds valid text alone.
  if (!json::accept(request.body)) return answer(Problem(400, "document: cannot be read whole as JSON"));
  change.body = request.body;
  core.Change(change, now, [answer](const std::optional<configuration::ChangeOutcome>& result) {
    if (!result) return answer(Unavailable("no quorum has taken it yet; send it again unchanged"));
    const int status = StatusOf(result->status);
    if (status == 200) return answer({200, json{{"version", result->version}}.dump(), {}});
    if (status == 503) return answer(Unavailable(result->message));
    answer(Problem(status, result->message));
  });
}

void HandleRead(ControlCore& core, Micros now, const http::Answer& answer) {
  core.ReadConfiguration(now, [answer](const std::optional<ControlCore::ConfigurationRead>& read) {
    if (!read) return answer(Unavailable("no quorum answers"));
    if (read->version == 0) return answer(Problem(404, "there is no configuration yet"));
    answer({200, read->document, {{"ETag", std::to_string(read->version)}}});
  });
}

void HandlePull(ControlCore& core, WatchRequest request, Micros now, const http::Answer& answer) {
  core.Watch(std::move(request), now, [answer](const std::optional<WatchReply>& reply) {
    if (!reply) return answer(Unavailable("this process is out of touch with the others, or stops"));
    answer({200, Encode(*reply), {}, http::BodyType::kBinary});
  });
}

}  // namespace

void HandlePublic(ControlCore& core, const http::Request& request, Micros now, const http::Answer& answer) {
  if (request.path == kConfigurationPath) {
    if (request.method == "GET") return HandleRead(core, now, answer);
    if (request.method == "PUT" || request.method == "PATCH") return HandleChange(core, request, now, answer);
  } else if (request.path.rfind(kInstancesPath, 0) == 0) {
    const std::string id = request.path.substr(std::string(kInstancesPath).size());
    if (request.method == "PUT") return HandleHeartbeat(core, id, request.body, now, answer);
    if (request.method == "DELETE") return core.Deregister(id, now, AcceptanceAnswer(answer));
  }
  answer(NotFound(request));
}

void HandleInternal(ControlCore& core, const http::Request& request, Micros now, const http::Answer& answer) {
  const auto unreadable = [&] { answer(Problem(400, request.path + ": the body is no such call")); };
  if (request.path == kExchangePath) {
    const auto exchange = Decode<ExchangeRequest>(request.body);
    if (!exchange) return unreadable();
    return answer({200, Encode(core.OnExchangeRequest(*exchange, now)), {}, http::BodyType::kBinary});
  }
  if (request.path == kWatchPath) {
    auto pull = Decode<WatchRequest>(request.body);
    return pull ? HandlePull(core, std::move(*pull), now, answer) : unreadable();
  }
  if (request.path == kDemandPath) {
    const auto demand = Decode<std::vector<ModelDemand>>(request.body);
    if (!demand) return unreadable();
    core.OnDemand(*demand, now);
    return answer(Done());
  }
  answer(NotFound(request));
}

}  // namespace violetwing
