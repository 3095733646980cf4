#include "control/configuration/reader.hpp"

#include <utility>

#include "control/configuration/message_patch.hpp"
#include "control/configuration/parser.hpp"
#include "control/configuration/validator.hpp"
#include "generated/configuration.pb.h"

namespace violetwing::configuration {
namespace {

ReadResult RejectNames() {
  return {nullptr,
          {{FindingCode::kMalformed, "patch", "delete: a list holds something that is not a name"}},
          nullptr};
}

ReadResult ValidateMessage(std::shared_ptr<const proto::Configuration> message) {
  ValidationResult result = Validate(*message);
  if (result.configuration == nullptr) return {nullptr, std::move(result.findings), nullptr};
  return {std::move(result.configuration), {}, std::move(message)};
}

}  // namespace

ReadResult Read(const std::string& json) {
  auto message = std::make_shared<proto::Configuration>();
  if (const std::optional<Finding> finding = ParseMessage(json, *message))
    return {nullptr, {*finding}, nullptr};
  return ValidateMessage(std::move(message));
}

std::optional<ReadResult> ReadPatched(const proto::Configuration& before,
                                      std::span<const nlohmann::ordered_json> patches) {
  auto message = std::make_shared<proto::Configuration>(before);
  for (const nlohmann::ordered_json& patch : patches) {
    switch (ApplyToMessage(*message, patch)) {
      case MessagePatchResult::kApplied:
        break;
      case MessagePatchResult::kNotMergeable:
        return std::nullopt;
      case MessagePatchResult::kInvalidNames:
        return RejectNames();
    }
  }
  return ValidateMessage(std::move(message));
}

}  // namespace violetwing::configuration
