#include "dataplane/routing/upstream_request.hpp"

#include <algorithm>
#include <cstdio>

namespace violetwing {
namespace {

// Decoding one token takes as long as prefilling this number of tokens.
constexpr double kPrefillTokensPerDecodedToken = 10;
// Space reserved for the head, to avoid reallocations.
constexpr std::size_t kExpectedHeadBytes = 1024;

// Whether a field of the client is not forwarded: the sidecar sets its own value or, for Expect, has already
// answered the client.
bool IsStripped(const Field& header) {
  return FieldNamesEqual(header.name, field::kDeadline) ||
         FieldNamesEqual(header.name, field::kExpectedInstance) ||
         FieldNamesEqual(header.name, field::kTenant) || FieldNamesEqual(header.name, "Expect");
}

}  // namespace

std::string BuildUpstreamHead(const ClientRequest& request, const std::string& instance_id,
                              std::int64_t remaining_ms, const UpstreamIdentity& identity) {
  std::string text;
  text.reserve(kExpectedHeadBytes);
  text += request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const Field& header : request.fields) {
    const bool strip_authorization =
        identity.strip_credentials && FieldNamesEqual(header.name, field::kAuthorization);
    if (!strip_authorization && !IsStripped(header)) AppendField(text, header.name, header.value);
  }
  if (!identity.tenant.empty()) AppendField(text, field::kTenant, identity.tenant);
  AppendField(text, field::kDeadline, std::to_string(std::max<std::int64_t>(remaining_ms, 1)));
  AppendField(text, field::kExpectedInstance, instance_id);
  if (request.has_length || !request.body.empty())
    AppendField(text, "Content-Length", std::to_string(request.body.size()));
  text += "\r\n";
  return text;
}

ServerLoad ParseServerLoad(const std::string& text) {
  ServerLoad load;
  std::sscanf(text.c_str(), "%d,%d,%d", &load.running, &load.waiting, &load.slots);
  return load;
}

double TokenCounts::PrefillEquivalent() const { return prompt + kPrefillTokensPerDecodedToken * max_output; }

TokenCounts ParseTokenCounts(const std::string& text) {
  TokenCounts counts;
  std::sscanf(text.c_str(), "%lf,%lf", &counts.prompt, &counts.max_output);
  return counts;
}

}  // namespace violetwing
