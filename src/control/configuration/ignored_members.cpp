#include "control/configuration/ignored_members.hpp"

#include <vector>

#include "generated/configuration.pb.h"

namespace violetwing::configuration {
namespace {

using Json = nlohmann::ordered_json;
using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;

void CollectIgnored(const Json& value, const Descriptor& type, const std::string& path,
                    std::set<std::string>& ignored);

// Recurses as deep as messages of configuration.proto contain each other.
void CollectIgnoredOfObject(const Json& object, const Descriptor& type, const std::string& path,
                            std::set<std::string>& ignored) {
  for (const auto& [name, member] : object.items()) {
    const FieldDescriptor* field = type.FindFieldByName(name);
    if (field == nullptr)
      ignored.insert(path + name);
    else if (field->message_type() != nullptr)
      CollectIgnored(member, *field->message_type(), path + name + ".", ignored);
  }
}

// Protocol buffers read lists within lists like a single list, so these may nest to any depth.
void CollectIgnored(const Json& value, const Descriptor& type, const std::string& path,
                    std::set<std::string>& ignored) {
  std::vector<const Json*> pending{&value};
  while (!pending.empty()) {
    const Json& next = *pending.back();
    pending.pop_back();
    if (next.is_object()) CollectIgnoredOfObject(next, type, path, ignored);
    if (!next.is_array()) continue;
    for (const Json& item : next) pending.push_back(&item);
  }
}

}  // namespace

std::set<std::string> IgnoredMembers(const Json& document) {
  std::set<std::string> ignored;
  CollectIgnored(document, *proto::Configuration::descriptor(), {}, ignored);
  return ignored;
}

}  // namespace violetwing::configuration
