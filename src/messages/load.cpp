#include "messages/load.hpp"

#include "generated/internal.pb.h"
#include "messages/parse.hpp"

namespace violetwing {

std::string Encode(const LoadReport& report) {
  wire::LoadReport out;
  out.set_node(report.node);
  for (const SentPrompt& prompt : report.prompts) {
    wire::SentPrompt& one = *out.add_prompts();
    one.set_server(prompt.server);
    one.set_weights(prompt.weights);
    one.set_parts(prompt.parts);
    one.set_read_ms(prompt.read_ms);
  }
  return out.SerializeAsString();
}

std::optional<LoadReport> DecodeLoadReport(std::string_view bytes) {
  const auto in = wire::Parse<wire::LoadReport>(bytes);
  if (!in) return std::nullopt;
  LoadReport report;
  report.node = in->node();
  for (const wire::SentPrompt& one : in->prompts())
    report.prompts.push_back({one.server(), one.weights(), one.parts(), one.read_ms()});
  return report;
}

}  // namespace violetwing
