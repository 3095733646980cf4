#include "control/configuration/parser.hpp"

#include <google/protobuf/util/json_util.h>

#include "generated/configuration.pb.h"

namespace violetwing::configuration {
namespace {

// Removes the quoted value from a protobuf error message. Values that cannot be converted may be API keys.
std::string RedactValue(const std::string& message) {
  const std::size_t value = message.find("invalid value");
  return value == std::string::npos ? message : message.substr(0, value) + "has the wrong type";
}

}  // namespace

std::optional<Finding> ParseMessage(const std::string& json, proto::Configuration& out) {
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  const auto status = google::protobuf::util::JsonStringToMessage(json, &out, options);
  if (status.ok()) return std::nullopt;
  return Finding{FindingCode::kMalformed, "document", RedactValue(std::string(status.message()))};
}

}  // namespace violetwing::configuration
