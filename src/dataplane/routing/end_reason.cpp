#include "dataplane/routing/end_reason.hpp"

namespace violetwing {
namespace {

struct ReasonTexts {
  std::string_view name;
  std::string_view response;
};

ReasonTexts GetTexts(EndReason reason) {
  switch (reason) {
    case EndReason::kServed:
      return {"served", ""};
    case EndReason::kNoConfiguration:
      return {"no_configuration", "no configuration yet"};
    case EndReason::kNoRoute:
      return {"no_route", "no route"};
    case EndReason::kUnknownKey:
      return {"unknown_key", "unknown key"};
    case EndReason::kOutOfTouch:
      return {"out_of_touch", "not sure of the configuration"};
    case EndReason::kNoBackend:
      return {"no_backend", "no service"};
    case EndReason::kNoServer:
      return {"no_server", "no server"};
    case EndReason::kUnknownModel:
      return {"unknown_model", "no such model"};
    case EndReason::kModelLoadTooSlow:
      return {"model_load_too_slow", "no server has the model, and its load takes too long"};
    case EndReason::kModelNotLoaded:
      return {"model_not_loaded", "no server has the model yet"};
    case EndReason::kRetriesExhausted:
      return {"retries_exhausted", "no server has taken it"};
    case EndReason::kServerFailed:
      return {"server_failed", "the server failed"};
    case EndReason::kResponseReset:
      return {"response_reset", ""};
    case EndReason::kNoCapacityInTime:
      return {"no_capacity_in_time", "no server had room in time"};
    case EndReason::kDeadlineExceeded:
      return {"deadline_exceeded", "no answer in time"};
    case EndReason::kDeadlineDuringResponse:
      return {"deadline_during_response", ""};
    case EndReason::kClientDisconnected:
      return {"client_disconnected", ""};
    case EndReason::kShuttingDown:
      return {"shutting_down", "the sidecar is shutting down"};
    case EndReason::kCutOffAtShutdown:
      return {"cut_off_at_shutdown", ""};
  }
  return {};
}

}  // namespace

std::string_view Name(EndReason reason) { return GetTexts(reason).name; }

std::string_view ResponseText(EndReason reason) { return GetTexts(reason).response; }

}  // namespace violetwing
