// Reads batches from standard input and writes one reply per batch, unbuffered, to standard output.
// Exit status: 0 at the end of input, 1 if a reply cannot be written, 2 on a read error or
// malformed input.
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <exception>
#include <string>
#include <string_view>
#include <vector>

#include "bench_adapter/host.hpp"

namespace {

constexpr std::size_t kReadBufferBytes = std::size_t{1} << 18;

bool WriteAll(std::string_view text) {
  while (!text.empty()) {
    const ssize_t bytes_written = ::write(STDOUT_FILENO, text.data(), text.size());
    if (bytes_written < 0 && errno == EINTR) continue;
    if (bytes_written <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(bytes_written));
  }
  return true;
}

int Serve() {
  violetwing::bench_adapter::Host host;
  std::vector<char> buffer(kReadBufferBytes);
  std::string partial_line;  // start of a line whose newline has not been read yet
  for (;;) {
    const ssize_t bytes_read = ::read(STDIN_FILENO, buffer.data(), buffer.size());
    if (bytes_read < 0 && errno == EINTR) continue;
    if (bytes_read < 0) {
      std::fprintf(stderr, "violetwing-bench-adapter: cannot read standard input: %s\n",
                   std::strerror(errno));
      return 2;
    }
    if (bytes_read == 0) break;
    std::string_view unprocessed(buffer.data(), static_cast<std::size_t>(bytes_read));
    for (std::size_t newline = unprocessed.find('\n'); newline != std::string_view::npos;
         newline = unprocessed.find('\n')) {
      std::string_view line = unprocessed.substr(0, newline);
      if (!partial_line.empty()) line = partial_line.append(line);
      if (host.ProcessLine(line) && !WriteAll(host.reply())) return 1;
      partial_line.clear();
      unprocessed.remove_prefix(newline + 1);
    }
    partial_line.append(unprocessed);
  }
  // The input ended without a newline. Processing the line reports a specific error if it is malformed.
  if (!partial_line.empty()) host.ProcessLine(partial_line);
  if (host.in_batch() || !partial_line.empty()) {
    std::fprintf(stderr, "violetwing-bench-adapter: input ended inside a batch or line\n");
    return 2;
  }
  return 0;
}

}  // namespace

int main() {
  try {
    return Serve();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "violetwing-bench-adapter: %s\n", error.what());
    return 2;
  }
}
