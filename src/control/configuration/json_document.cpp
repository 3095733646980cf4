#include "control/configuration/json_document.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace violetwing::configuration {
namespace {

using Json = nlohmann::ordered_json;

// Documents up to this depth are serialized by the library, which is faster. Its recursion takes some 150
// bytes of stack for each level.
constexpr std::size_t kMaxRecursionDepth = 1000;

// A container of which a part has been visited.
struct OpenContainer {
  const Json* container;
  Json::const_iterator next;
};

// Serializes a document with a stack of its own.
class Serializer {
 public:
  std::string Run(const Json& document) {
    WriteValue(document);
    while (!open_.empty()) WriteNext();
    return std::move(text_);
  }

 private:
  void WriteValue(const Json& value) {
    if (!value.is_structured()) {
      text_ += value.dump();
      return;
    }
    text_ += value.is_object() ? '{' : '[';
    open_.push_back({&value, value.cbegin()});
  }

  // Writes the next element of the innermost open container, or its end.
  void WriteNext() {
    OpenContainer& open = open_.back();
    const bool is_object = open.container->is_object();
    if (open.next == open.container->cend()) {
      text_ += is_object ? '}' : ']';
      open_.pop_back();
      return;
    }
    if (open.next != open.container->cbegin()) text_ += ',';
    if (is_object) text_ += Json(open.next.key()).dump() + ':';
    const Json& value = *open.next;
    ++open.next;
    WriteValue(value);
  }

  std::string text_;
  std::vector<OpenContainer> open_;
};

}  // namespace

std::size_t NestingDepth(const Json& document) {
  if (!document.is_structured()) return 0;
  std::size_t deepest = 1;
  std::vector<OpenContainer> open{{&document, document.cbegin()}};
  while (!open.empty()) {
    OpenContainer& innermost = open.back();
    if (innermost.next == innermost.container->cend()) {
      open.pop_back();
      continue;
    }
    const Json& value = *innermost.next;
    ++innermost.next;
    if (!value.is_structured()) continue;
    open.push_back({&value, value.cbegin()});
    deepest = std::max(deepest, open.size());
  }
  return deepest;
}

const Json& MemberOrEmptyObject(const Json& object, const char* key) {
  static const Json kEmptyObject = Json::object();
  const auto member = object.find(key);
  return member == object.end() ? kEmptyObject : *member;
}

std::string Serialize(const Json& document) {
  if (NestingDepth(document) <= kMaxRecursionDepth) return document.dump();
  return Serializer().Run(document);
}

}  // namespace violetwing::configuration
