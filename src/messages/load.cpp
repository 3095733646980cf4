#include "messages/load.hpp"

#include "generated/internal.pb.h"
#include "messages/parse.hpp"

namespace violetwing {

std::string Encode(const LoadReport& report) {
  wire::LoadReport out;
  out.set_node(report.node);
  for (const SentPrompt& prompt : report.prompts) {
    wire::SentPrompt& encoded = *out.add_prompts();
    encoded.set_server(prompt.server);
    encoded.set_weights(prompt.weights);
    encoded.set_parts(prompt.parts);
    encoded.set_read_ms(prompt.read_ms);
  }
  return out.SerializeAsString();
}

std::optional<LoadReport> DecodeLoadReport(std::string_view bytes) {
  const auto in = wire::Parse<wire::LoadReport>(bytes);
  if (!in) return std::nullopt;
  LoadReport report;
  report.node = in->node();
  for (const wire::SentPrompt& encoded : in->prompts())
    report.prompts.push_back({encoded.server(), encoded.weights(), encoded.parts(), encoded.read_ms()});
  return report;
}

}  // namespace violetwing
