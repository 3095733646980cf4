// The list of servers as it was last told, kept in a directory: a sidecar that starts with no registry up
// begins with it. Only where further discovery addresses are configured; docs/registry.md has the use.
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

class LastList {
 public:
  static constexpr const char* kFile = stored_names::kLastList;

  // `names` outlives it.
  LastList(asio::io_context& io, const std::string& directory, const bench_adapter::WireSettings& names);
  ~LastList();  // writes what is not written yet
  LastList(const LastList&) = delete;
  LastList& operator=(const LastList&) = delete;

  // Begins with `known`, a whole list as text or empty, or with the copy if that is later; the copy is given
  // then. One that makes no sense is one line in the log. Called once, before Update.
  std::optional<EndpointList> Load(const std::string& known);
  // Takes a list or its changes in discovery's form, and writes the whole within two seconds. False, with the
  // reason and nothing taken, if it would leave no server.
  bool Update(const nlohmann::json& list, std::string& reason);

 private:
  std::optional<nlohmann::json> ReadCopy(EndpointList& parsed) const;
  bool LeavesNone(const nlohmann::json& changes) const;
  void Adopt(const nlohmann::json& list);
  void WriteLater();
  void Write();

  const std::string file_;
  const bench_adapter::WireSettings& names_;
  asio::steady_timer timer_;
  bool pending_ = false;
  bool complained_ = false;
  std::int64_t generation_ = 0;
  std::map<std::string, nlohmann::json> entries_;
};

}  // namespace violetwing::sidecar

#endif  // VIOLETWING_SIDECAR_LAST_LIST_HPP_
