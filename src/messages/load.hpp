// Load reports inform a sidecar's neighbors of the prompts that it has sent to model servers. Each report is
// one datagram. Lost reports are not retransmitted, and the receivers then miss the load of their prompts.
#ifndef VIOLETWING_MESSAGES_LOAD_HPP_
#define VIOLETWING_MESSAGES_LOAD_HPP_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace violetwing {

/// A prompt that was sent to a server. The server's prefix cache is assumed to hold its parts afterwards.
struct SentPrompt {
  std::string server;   ///< instance id
  std::string weights;  ///< "model" or "model/adapter"
  std::string parts;    ///< prompt parts, in the format of the header X-Violetwing-Prompt-Prefix
  double read_ms = 0;   ///< expected prefill time on that server, in milliseconds
};

/// The prompts that one sidecar has sent since its last report.
struct LoadReport {
  std::string node;  ///< name of the sending sidecar
  std::vector<SentPrompt> prompts;
};

/// Encodes the report as one datagram (protocol buffers).
std::string Encode(const LoadReport& report);
/// Decodes a report. Returns an empty optional if the bytes are not a report or a required field is missing.
std::optional<LoadReport> DecodeLoadReport(std::string_view bytes);

}  // namespace violetwing

#endif  // VIOLETWING_MESSAGES_LOAD_HPP_
