// Encoded protocol buffers with one field missing or of another wire type, for tests of decoding.
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

inline std::vector<const FieldDescriptor*> FieldsOf(const Message& prototype) {
  std::vector<const FieldDescriptor*> out;
  for (int i = 0; i < prototype.GetDescriptor()->field_count(); ++i)
    out.push_back(prototype.GetDescriptor()->field(i));
  return out;
}

// The message without this field; unchanged if the bytes are no message of this type, such as the text of an
// error response.
inline std::string Without(const Message& prototype, const FieldDescriptor* field, const std::string& bytes) {
  const std::unique_ptr<Message> message(prototype.New());
  if (!message->ParsePartialFromString(bytes) || !message->IsInitialized()) return bytes;
  message->GetReflection()->ClearField(message.get(), field);
  return message->SerializePartialAsString();
}

// The message with a value of another wire type in place of this field.
inline std::string WithOtherType(const Message& prototype, const FieldDescriptor* field,
                                 const std::string& bytes) {
  const std::string without = Without(prototype, field, bytes);
  if (without == bytes) return bytes;
  constexpr int kVarint = 0;
  constexpr int kLengthDelimited = 2;
  const auto tag = [&](int type) { return static_cast<char>(field->number() << 3 | type); };
  const bool text = field->cpp_type() == FieldDescriptor::CPPTYPE_STRING;
  if (text) return without + tag(kVarint) + '\x01';
  return without + tag(kLengthDelimited) + "\x02\xff\xff";  // an incomplete tag
}

}  // namespace violetwing::testing

#endif  // VIOLETWING_TESTS_TESTING_WIRE_FIELDS_HPP_
