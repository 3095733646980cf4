// What a process holds of the machine, as its platform counts it: memory, bytes that wait unread in its
// sockets, and descriptors.
#ifndef VIOLETWING_TESTS_NODE_CROWD_PROCESS_USAGE_HPP_
#define VIOLETWING_TESTS_NODE_CROWD_PROCESS_USAGE_HPP_

#include <sys/types.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <limits>
#include <map>
#include <set>
#include <sstream>
#include <string>

namespace violetwing::testing::crowd {

/// One reading, or the peak of several.
struct ProcessUsage {
  double memory_mb = 0;  ///< resident memory and unread bytes
  std::size_t descriptors = 0;
};

/// Resident memory in bytes; 0 for a process that has ended.
inline double ResidentBytes(pid_t id) {
  std::ifstream status("/proc/" + std::to_string(id) + "/status");
  for (std::string word; status >> word;) {
    double kilobytes = 0;
    if (word == "VmRSS:" && status >> kilobytes) return kilobytes * 1024;
    status.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
  }
  return 0;
}

/// Inodes of the sockets of a process; adds the number of its descriptors to `descriptors`.
inline std::set<std::string> SocketInodes(pid_t id, std::size_t& descriptors) {
  std::set<std::string> inodes;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(id) + "/fd", error)) {
    ++descriptors;
    std::error_code gone;
    const std::string target = std::filesystem::read_symlink(entry.path(), gone).string();
    if (target.rfind("socket:[", 0) == 0) inodes.insert(target.substr(8, target.size() - 9));
  }
  return inodes;
}

/// Bytes that wait unread in the TCP sockets of this machine, by inode.
using UnreadBySocket = std::map<std::string, double>;

inline UnreadBySocket ReadUnreadBytes() {
  std::ifstream table("/proc/net/tcp");
  UnreadBySocket unread;
  std::string line;
  std::getline(table, line);
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string slot, local, remote, state, queues, timer, retransmits, user, timeout, inode;
    fields >> slot >> local >> remote >> state >> queues >> timer >> retransmits >> user >> timeout >> inode;
    constexpr const char* kListening = "0A";  // its queue counts connections
    const auto bytes =
        static_cast<double>(std::strtoul(queues.substr(queues.find(':') + 1).c_str(), nullptr, 16));
    if (state != kListening && bytes > 0) unread[inode] += bytes;
  }
  return unread;
}

inline ProcessUsage MeasureUsage(pid_t id, const UnreadBySocket& unread = ReadUnreadBytes()) {
  ProcessUsage usage;
  double bytes = ResidentBytes(id);
  for (const std::string& inode : SocketInodes(id, usage.descriptors)) {
    const auto it = unread.find(inode);
    if (it != unread.end()) bytes += it->second;
  }
  usage.memory_mb = bytes / 1e6;
  return usage;
}

/// The larger of each figure.
inline ProcessUsage Peak(const ProcessUsage& a, const ProcessUsage& b) {
  return {std::max(a.memory_mb, b.memory_mb), std::max(a.descriptors, b.descriptors)};
}

}  // namespace violetwing::testing::crowd

#endif  // VIOLETWING_TESTS_NODE_CROWD_PROCESS_USAGE_HPP_
