// Messages between the processes with one field missing or of another type, by their protocol buffers.
#ifndef VIOLETWING_TESTS_TESTING_WIRE_FIELDS_HPP_
#define VIOLETWING_TESTS_TESTING_WIRE_FIELDS_HPP_

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <memory>
#include <string>
#include <vector>

#include "messages/generated/internal.pb.h"

namespace violetwing::testing {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

inline std::vector<const FieldDescriptor*> FieldsOf(const Message& kind) {
  std::vector<const FieldDescriptor*> out;
  for (int i = 0; i < kind.GetDescriptor()->field_count(); ++i) out.push_back(kind.GetDescriptor()->field(i));
  return out;
}

// The message without that field; as it is if the bytes are none of this kind (a refusal has text).
inline std::string Without(const Message& kind, const FieldDescriptor* field, const std::string& bytes) {
  const std::unique_ptr<Message> message(kind.New());
  if (!message->ParsePartialFromString(bytes) || !message->IsInitialized()) return bytes;
  message->GetReflection()->ClearField(message.get(), field);
  return message->SerializePartialAsString();
}

// The message with something in the field's place that cannot be read as one.
inline std::string WithOtherType(const Message& kind, const FieldDescriptor* field,
                                 const std::string& bytes) {
  const std::string without = Without(kind, field, bytes);
  if (without == bytes) return bytes;
  constexpr int kVarint = 0;
  constexpr int kLengthDelimited = 2;
  const auto tag = [&](int type) { return static_cast<char>(field->number() << 3 | type); };
  const bool text = field->cpp_type() == FieldDescriptor::CPPTYPE_STRING;
  if (text) return without + tag(kVarint) + '\x01';
  return without + tag(kLengthDelimited) + "\x02\xff\xff";  // a tag without its end
}

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_WIRE_FIELDS_HPP_
