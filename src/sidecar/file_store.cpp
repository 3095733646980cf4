#include "sidecar/file_store.hpp"

#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <string_view>
#include <system_error>
#include <utility>

namespace violetwing::sidecar {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kMaxNameBytes = 100;  // file names are limited to 255 bytes, and hex doubles the length

// Names may contain bytes that are not allowed in file names.
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
  // Accepts only the canonical form, so that each name has one file.
  return Hex(out) == digits ? std::optional(out) : std::nullopt;
}

}  // namespace

bool FileStore::CanStore(const std::string& name) const {
  return !directory_.empty() && !name.empty() && name.size() <= kMaxNameBytes;
}

std::string FileStore::Path(const std::string& name) const { return directory_ + "/" + prefix_ + Hex(name); }

// Writes a temporary file and renames it, so that the other process never reads a partial file.
bool FileStore::Put(const std::string& name, const std::string& text) {
  if (!CanStore(name)) return false;
  const std::string temporary = directory_ + "/." + prefix_ + std::to_string(::getpid());
  std::ofstream out(temporary, std::ios::binary);
  out << text;
  out.close();
  std::error_code error;
  if (out) fs::rename(temporary, Path(name), error);
  return out && !error;
}

bool FileStore::Remove(const std::string& name) {
  return CanStore(name) && (::unlink(Path(name).c_str()) == 0 || errno == ENOENT);
}

bool FileStore::Read(std::map<std::string, std::string>& found) {
  if (directory_.empty()) return false;
  std::map<std::string, std::string> out;
  std::error_code error;
  for (auto it = fs::directory_iterator(directory_, error); !error && it != fs::directory_iterator();
       it.increment(error)) {
    const std::string file = it->path().filename().string();
    if (file.compare(0, prefix_.size(), prefix_) != 0) continue;
    std::error_code ignored;
    const auto name = FromHex(std::string_view(file).substr(prefix_.size()));
    if (name && it->is_regular_file(ignored)) {
      std::ostringstream text;
      if (fs::file_size(it->path(), ignored) > 0) text << std::ifstream(it->path(), std::ios::binary).rdbuf();
      out[*name] = text.str();
    } else if (logged_.insert(file).second) {
      std::fprintf(stderr, "operator orders: ignored entry with an invalid name or type: %.200s\n",
                   file.c_str());
    }
  }
  if (error) return false;
  found = std::move(out);
  return true;
}

}  // namespace violetwing::sidecar
