#include "control/configuration/parser.hpp"

#include <google/protobuf/util/json_util.h>

#include "generated/configuration.pb.h"

namespace violetwing::configuration {

std::optional<Finding> ParseMessage(const std::string& json, proto::Configuration& out) {
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  const auto status = google::protobuf::util::JsonStringToMessage(json, &out, options);
  if (status.ok()) return std::nullopt;
  return Finding{FindingCode::kUnreadable, "document", std::string(status.message())};
}

}  // namespace violetwing::configuration
