// Load reports: the prompts that a sidecar has sent to model servers, for its neighbors. One datagram per
// report; a lost report is not sent again, and the receivers then do not count its prompts.
#ifndef VIOLETWING_MESSAGES_LOAD_HPP_
#define VIOLETWING_MESSAGES_LOAD_HPP_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace violetwing {

/// A prompt that was sent to a server, whose prefix cache holds its parts from now on.
struct SentPrompt {
  std::string server;   ///< instance id
  std::string weights;  ///< "model" or "model/adapter"
  std::string parts;    ///< prompt parts, in the form of the header X-Violetwing-Prompt-Prefix
  double read_ms = 0;   ///< expected prefill time on that server, in milliseconds
};

/// The prompts that one sidecar has sent since its last report.
struct LoadReport {
  std::string node;  ///< name of the sending sidecar
  std::vector<SentPrompt> prompts;
};

/// The report as one datagram (protocol buffers).
std::string Encode(const LoadReport& report);
/// Empty if the bytes are not a report, or if a field is missing.
std::optional<LoadReport> DecodeLoadReport(std::string_view bytes);

}  // namespace violetwing

#endif  // VIOLETWING_MESSAGES_LOAD_HPP_
