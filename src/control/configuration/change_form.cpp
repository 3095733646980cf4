#include "control/configuration/change_form.hpp"

#include <cstddef>
#include <nlohmann/json.hpp>

namespace violetwing::configuration {
namespace {

using Json = nlohmann::json;

constexpr const char* kDelete = "delete";
// Open containers at an element of a list of names: the patch, its `delete`, and the list.
constexpr std::size_t kNamesDepth = 3;
// Estimates of what an element takes in the parsed document, in the message and in the configuration
// together: for an object or a list, for any other value or a key, and for each byte of a text.
constexpr std::size_t kContainerBytes = 512;
constexpr std::size_t kValueBytes = 64;
constexpr std::size_t kCopiesOfText = 3;

// Receives the elements of a document in order. Unlike a parsed document, this takes no memory per element.
class FormChecker : public nlohmann::json_sax<Json> {
 public:
  FormChecker(bool is_patch, std::size_t max_parsed_bytes)
      : is_patch_(is_patch), max_parsed_bytes_(max_parsed_bytes) {}

  std::optional<FormProblem> problem() const { return problem_; }

  bool null() override { return OnValue(false); }
  bool boolean(bool) override { return OnValue(false); }
  bool number_integer(number_integer_t) override { return OnValue(false); }
  bool number_unsigned(number_unsigned_t) override { return OnValue(false); }
  bool number_float(number_float_t, const string_t&) override { return OnValue(false); }
  bool string(string_t& text) override {
    Count(text.size() * kCopiesOfText);
    return OnValue(true);
  }
  bool binary(binary_t&) override { return OnValue(false); }
  bool start_object(std::size_t) override { return OnContainer(); }
  bool start_array(std::size_t) override { return OnContainer(); }
  bool end_object() override { return OnContainerEnd(); }
  bool end_array() override { return OnContainerEnd(); }
  bool key(string_t& name) override {
    Count(kValueBytes + name.size() * kCopiesOfText);
    if (depth_ == 1) in_delete_ = is_patch_ && name == kDelete;
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  void Count(std::size_t bytes) {
    parsed_bytes_ += bytes;
    if (parsed_bytes_ > max_parsed_bytes_) Report(FormProblem::kTooLarge);
  }
  bool OnValue(bool is_string) {
    Count(kValueBytes);
    if (in_delete_ && depth_ == kNamesDepth && !is_string) Report(FormProblem::kDeletesNonName);
    return true;
  }
  bool OnContainer() {
    OnValue(/*is_string=*/false);
    Count(kContainerBytes);
    if (++depth_ > kMaxChangeDepth) Report(FormProblem::kNestsTooDeep);
    return true;
  }
  bool OnContainerEnd() {
    --depth_;
    return true;
  }
  void Report(FormProblem problem) {
    if (!problem_) problem_ = problem;
  }

  const bool is_patch_;
  const std::size_t max_parsed_bytes_;
  std::size_t parsed_bytes_ = 0;
  std::size_t depth_ = 0;   // open containers
  bool in_delete_ = false;  // within the value of the patch's `delete`
  std::optional<FormProblem> problem_;
};

}  // namespace

std::optional<FormProblem> CheckForm(const Change& change, std::size_t max_parsed_bytes) {
  FormChecker checker(change.patch, max_parsed_bytes);
  if (!Json::sax_parse(change.body, &checker)) return FormProblem::kNotJson;
  return checker.problem();
}

std::string ToText(FormProblem problem) {
  switch (problem) {
    case FormProblem::kNotJson:
      return "document: cannot be read whole as JSON";
    case FormProblem::kNestsTooDeep:
      return "document: nests deeper than " + std::to_string(kMaxChangeDepth) + " levels";
    case FormProblem::kDeletesNonName:
      return "patch: delete: a list holds something that is not a name";
    case FormProblem::kTooLarge:
      return "document: has too many elements for the memory of this process";
  }
  return "document: is not valid";
}

}  // namespace violetwing::configuration
