#include "control/api/handlers.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/json_text.hpp"
#include "common/utf8.hpp"
#include "control/api/http_status.hpp"

namespace violetwing {
namespace {

using nlohmann::json;

constexpr const char* kConfigurationPath = "/api/configuration";
constexpr const char* kInstancesPath = "/api/instances/";

// Of a server's description: its models and adapters.
constexpr std::size_t kMaxHeartbeatBytes = std::size_t{256} * 1024;
// A change is held as the call's body, as a command, in the log, and as messages to the peers.
constexpr std::size_t kDocumentCopies = 5;
// An exchange carries entries of the log, each with one document, or a piece of a snapshot.
constexpr std::size_t kMaxExchangeBytes = std::size_t{16} * 1024 * 1024;
// Demand and watches name models and versions.
constexpr std::size_t kMaxSidecarCallBytes = std::size_t{1024} * 1024;
constexpr std::size_t kDecodedCopies = 2;
// Calls without a body of their own may still have one, which is ignored.
constexpr std::size_t kMaxIgnoredBytes = std::size_t{4} * 1024;

http::Response Success() { return {http::kOk, "{}", {}}; }

// `problem` may quote the request, which may not be UTF-8.
http::Response Failure(int status, const std::string& problem) {
  return {status, ToJsonText({{"error", problem}}), {}};
}

http::Response Unavailable(const std::string& problem) {
  http::Response response = Failure(http::kServiceUnavailable, problem);
  response.headers.emplace_back("Retry-After", "0.2");
  return response;
}

http::Response NotFound(const http::Request& request) {
  return Failure(http::kNotFound, "there is nothing at " + request.method + " " + request.path);
}

// Parses the version that a change is based on: `"7"`, `7`, or an empty text, which stands for 0. False for
// any other text.
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
      return http::kOk;
    case configuration::ChangeStatus::kVersionConflict:
      return http::kPreconditionFailed;
    case configuration::ChangeStatus::kUnknown:
      return http::kServiceUnavailable;
    case configuration::ChangeStatus::kInvalid:
      break;
  }
  return http::kBadRequest;
}

ControlCore::AcceptanceCallback RespondWithAcceptance(const http::Responder& respond) {
  return [respond](ControlCore::Acceptance acceptance) {
    respond(acceptance == ControlCore::Acceptance::kAccepted ? Success()
                                                             : Unavailable("no quorum has taken it yet"));
  };
}

void HandleHeartbeat(ControlCore& core, const std::string& id, const std::string& body, Micros now,
                     const http::Responder& respond) {
  Instance instance;
  bool draining = false;
  try {
    const json in = json::parse(body);
    draining = in.value("phase", std::string("ready")) == "draining";
    instance = in.get<Instance>();
  } catch (const json::exception& error) {
    return respond(Failure(http::kBadRequest, error.what()));
  }
  if (instance.backend.empty() || instance.address.empty())
    return respond(Failure(http::kBadRequest, "backend or address is missing"));
  instance.id = id;
  core.Heartbeat(std::move(instance), draining, now, RespondWithAcceptance(respond));
}

void HandleChange(ControlCore& core, const http::Request& request, Micros now,
                  const http::Responder& respond) {
  configuration::Change change;
  change.patch = request.method == "PATCH";
  if (!ParseIfMatch(request.if_match, change.base_version))
    return respond(Failure(http::kBadRequest, "If-Match: is no version"));
  change.body = request.body;
  core.Change(change, now, [respond](const Result<configuration::ChangeOutcome>& result) {
    if (!result) return respond(Unavailable("no quorum has taken it yet; send it again unchanged"));
    const configuration::ChangeOutcome& outcome = result.value();
    const int status = StatusOf(outcome.status);
    if (status == http::kOk) return respond({http::kOk, json{{"version", outcome.version}}.dump(), {}});
    if (status == http::kServiceUnavailable) return respond(Unavailable(outcome.message));
    respond(Failure(status, outcome.message));
  });
}

void HandleRead(ControlCore& core, Micros now, const http::Responder& respond) {
  core.ReadConfiguration(now, [respond](const Result<ControlCore::ConfigurationRead>& result) {
    if (!result) return respond(Unavailable("no quorum answers"));
    const ControlCore::ConfigurationRead& read = result.value();
    if (read.version == 0) return respond(Failure(http::kNotFound, "there is no configuration yet"));
    respond({http::kOk, read.document, {{"ETag", std::to_string(read.version)}}});
  });
}

void RejectBody(const http::Request& request, const http::Responder& respond) {
  respond(Failure(http::kBadRequest, request.path + ": the body is no such call"));
}

void HandleExchange(ControlCore& core, const http::Request& request, Micros now,
                    const http::Responder& respond) {
  const auto exchange = Decode<ExchangeRequest>(request.body);
  if (!exchange) return RejectBody(request, respond);
  respond({http::kOk, Encode(core.OnExchangeRequest(*exchange, now)), {}, http::BodyType::kBinary});
}

void HandleWatch(ControlCore& core, const http::Request& request, Micros now,
                 const http::Responder& respond) {
  auto watch = Decode<WatchRequest>(request.body);
  if (!watch) return RejectBody(request, respond);
  core.Watch(std::move(*watch), now, [respond](const std::optional<WatchReply>& reply) {
    if (!reply) return respond(Unavailable("this process is out of touch with the others, or stops"));
    respond({http::kOk, Encode(*reply), {}, http::BodyType::kBinary});
  });
}

void HandleDemand(ControlCore& core, const http::Request& request, Micros now,
                  const http::Responder& respond) {
  const auto demand = Decode<std::vector<ModelDemand>>(request.body);
  if (!demand) return RejectBody(request, respond);
  core.OnDemand(*demand, now);
  respond(Success());
}

}  // namespace

void HandlePublic(ControlCore& core, const http::Request& request, Micros now,
                  const http::Responder& respond) {
  if (request.path == kConfigurationPath) {
    if (request.method == "GET") return HandleRead(core, now, respond);
    if (request.method == "PUT" || request.method == "PATCH")
      return HandleChange(core, request, now, respond);
  } else if (request.path.rfind(kInstancesPath, 0) == 0) {
    const std::string id = request.path.substr(std::string(kInstancesPath).size());
    if (!IsUtf8(id)) return respond(Failure(http::kBadRequest, "instance id: is not UTF-8"));
    if (request.method == "PUT") return HandleHeartbeat(core, id, request.body, now, respond);
    if (request.method == "DELETE") return core.Deregister(id, now, RespondWithAcceptance(respond));
  }
  respond(NotFound(request));
}

http::BodyRule PublicBodyRule(const std::string& method, const std::string& path,
                              std::size_t max_document_bytes) {
  const bool is_change = method == "PUT" || method == "PATCH";
  if (path == kConfigurationPath && is_change) return {max_document_bytes, kDocumentCopies};
  if (path.rfind(kInstancesPath, 0) == 0 && is_change) return {kMaxHeartbeatBytes, kDecodedCopies};
  return {kMaxIgnoredBytes, 1};
}

http::BodyRule InternalBodyRule(const std::string& path) {
  if (path == kExchangePath) return {kMaxExchangeBytes, kDecodedCopies};
  return {kMaxSidecarCallBytes, kDecodedCopies};
}

void HandleInternal(ControlCore& core, const http::Request& request, Micros now,
                    const http::Responder& respond) {
  if (request.path == kExchangePath) return HandleExchange(core, request, now, respond);
  if (request.path == kWatchPath) return HandleWatch(core, request, now, respond);
  if (request.path == kDemandPath) return HandleDemand(core, request, now, respond);
  respond(NotFound(request));
}

}  // namespace violetwing
