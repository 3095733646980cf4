#include "dataplane/routing/authentication.hpp"

#include <string>

namespace violetwing {
namespace {

constexpr std::string_view kScheme = "Bearer";
constexpr std::string_view kSpaces = " \t";

// Value of the only field with that name; null if there is none, or more than one.
const std::string* FindUnique(const FieldList& fields, std::string_view name) {
  const std::string* found = nullptr;
  for (const Field& field : fields) {
    if (!FieldNamesEqual(field.name, name)) continue;
    if (found != nullptr) return nullptr;
    found = &field.value;
  }
  return found;
}

}  // namespace

std::optional<std::string_view> BearerKey(const FieldList& fields) {
  const std::string* credentials = FindUnique(fields, field::kAuthorization);
  if (credentials == nullptr) return std::nullopt;
  std::string_view text = *credentials;
  const std::size_t scheme_end = text.find_first_of(kSpaces);
  if (scheme_end == std::string_view::npos || !FieldNamesEqual(text.substr(0, scheme_end), kScheme))
    return std::nullopt;
  const std::size_t key_begin = text.find_first_not_of(kSpaces, scheme_end);
  if (key_begin == std::string_view::npos) return std::nullopt;
  text.remove_prefix(key_begin);
  const std::size_t key_end = text.find_last_not_of(kSpaces);
  return text.substr(0, key_end + 1);
}

Authentication Authenticate(const ApiKeyIndex& keys, const configuration::Route& route,
                            const FieldList& fields) {
  using Status = Authentication::Status;
  if (!keys.IsRequired()) return {};
  const std::optional<std::string_view> key = BearerKey(fields);
  const configuration::Tenant* tenant = key ? keys.Find(*key) : nullptr;
  if (tenant != nullptr) return {Status::kTenantKnown, tenant};
  return {route.is_public ? Status::kNotNeeded : Status::kUnknownKey, nullptr};
}

}  // namespace violetwing
