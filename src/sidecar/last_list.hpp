// A copy of the last list of servers on disk, for a sidecar that starts while no registry is up. Used only if
// further discovery addresses are configured; docs/registry.md describes the use.
#ifndef VIOLETWING_SIDECAR_LAST_LIST_HPP_
#define VIOLETWING_SIDECAR_LAST_LIST_HPP_

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "sidecar/discovery.hpp"
#include "sidecar/stored_names.hpp"

namespace violetwing::sidecar {

/// Keeps the complete list up to date in memory and writes it to disk after changes.
class LastList {
 public:
  /// The name of the file in the directory.
  static constexpr const char* kFile = stored_names::kLastList;

  /// `names` must outlive this object.
  LastList(asio::io_context& io, const std::string& directory, const bench_adapter::WireSettings& names);
  ~LastList();  // writes pending changes
  LastList(const LastList&) = delete;
  LastList& operator=(const LastList&) = delete;

  /// Starts from `known`, a complete list as JSON text or empty, or from the copy on disk if its generation
  /// is higher, and returns the copy in that case. Logs an invalid copy in one line. Call it once, before
  /// Update.
  std::optional<EndpointList> Load(const std::string& known);
  /// Applies a complete list or changes in discovery's JSON form, and writes the complete list within 2 s.
  /// Returns false with a `reason` and changes nothing if no server would be left.
  bool Update(const nlohmann::json& list, std::string& reason);

 private:
  std::optional<nlohmann::json> ReadCopy(EndpointList& parsed) const;
  bool WouldRemoveAll(const nlohmann::json& changes) const;
  void Apply(const nlohmann::json& list);
  void ScheduleWrite();
  void Write();

  const std::string file_;
  const bench_adapter::WireSettings& names_;
  asio::steady_timer timer_;
  bool write_pending_ = false;
  bool logged_write_failure_ = false;
  std::int64_t generation_ = 0;
  std::map<std::string, nlohmann::json> entries_;
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_LAST_LIST_HPP_
