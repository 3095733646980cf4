#include "bans.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstdio>
#include <filesystem>
#include <optional>
#include <string_view>
#include <system_error>

namespace merlinrun::net {
namespace {

namespace fs = std::filesystem;

constexpr std::string_view kPrefix = "fennelhollow-ban-";
constexpr std::size_t kMostId = 100;  // file names end at 255 bytes

// Ids may hold what file names may not.
std::string Hex(const std::string& text) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    out += kDigits[byte >> 4];
    out += kDigits[byte & 15];
  }
  return out;
}

std::optional<std::string> FromHex(std::string_view digits) {
  if (digits.empty() || digits.size() % 2 != 0) return std::nullopt;
  std::string out;
  for (std::size_t i = 0; i < digits.size(); i += 2) {
    unsigned char byte = 0;
    const char* const end = digits.data() + i + 2;
    const auto [last, error] = std::from_chars(digits.data() + i, end, byte, 16);
    if (error != std::errc() || last != end) return std::nullopt;
    out += static_cast<char>(byte);
  }
  return Hex(out) == digits ? std::optional(out) : std::nullopt;  // one name for each server
}

}  // namespace

std::string Bans::Path(const std::string& server) const {
  return directory_ + "/" + std::string(kPrefix) + Hex(server);
}

bool Bans::Add(const std::string& server) {
  if (directory_.empty() || server.empty() || server.size() > kMostId) return false;
  const int file = ::open(Path(server).c_str(), O_CREAT | O_WRONLY | O_CLOEXEC, 0600);
  if (file < 0) return false;
  ::close(file);
  return true;
}

bool Bans::Remove(const std::string& server) {
  if (directory_.empty() || server.empty() || server.size() > kMostId) return false;
  return ::unlink(Path(server).c_str()) == 0 || errno == ENOENT;
}

bool Bans::Read(std::set<std::string>& servers) {
  if (directory_.empty()) return false;
  std::set<std::string> found;
  std::error_code error;
  for (auto it = fs::directory_iterator(directory_, error); !error && it != fs::directory_iterator();
       it.increment(error)) {
    const std::string name = it->path().filename().string();
    if (name.compare(0, kPrefix.size(), kPrefix) != 0) continue;
    std::error_code ignored;
    const auto server = FromHex(std::string_view(name).substr(kPrefix.size()));
    if (server && it->is_regular_file(ignored))
      found.insert(*server);
    else if (complained_.insert(name).second)
      std::fprintf(stderr, "bans: passed over: %.200s\n", name.c_str());
  }
  if (error) return false;
  servers = std::move(found);
  return true;
}

}  // namespace merlinrun::net
