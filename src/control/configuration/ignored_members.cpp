#include "control/configuration/ignored_members.hpp"

#include "generated/configuration.pb.h"

namespace violetwing::configuration {
namespace {

using Json = nlohmann::ordered_json;
using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;

void CollectIgnored(const Json& value, const Descriptor& type, const std::string& path,
                    std::set<std::string>& ignored) {
  if (value.is_array()) {
    for (const Json& item : value) CollectIgnored(item, type, path, ignored);
    return;
  }
  if (!value.is_object()) return;
  for (const auto& [name, member] : value.items()) {
    const FieldDescriptor* field = type.FindFieldByName(name);
    if (field == nullptr)
      ignored.insert(path + name);
    else if (field->message_type() != nullptr)
      CollectIgnored(member, *field->message_type(), path + name + ".", ignored);
  }
}

}  // namespace

std::set<std::string> IgnoredMembers(const Json& document) {
  std::set<std::string> ignored;
  CollectIgnored(document, *proto::Configuration::descriptor(), {}, ignored);
  return ignored;
}

}  // namespace violetwing::configuration
