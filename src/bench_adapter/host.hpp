// Hosts the balancer instances of one adapter process and dispatches protocol lines to them.
#ifndef VIOLETWING_BENCH_ADAPTER_HOST_HPP_
#define VIOLETWING_BENCH_ADAPTER_HOST_HPP_

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bench_adapter/balancer_types.hpp"
#include "bench_adapter/wire.hpp"

namespace violetwing::bench_adapter {

/// Runs one Balancer for each simulated sidecar. Reads the protocol line by line and collects the actions of
/// all instances as the reply to the batch. Not thread-safe.
class Host {
 public:
  Host();
  ~Host();
  /// Processes one line, given without its newline. Returns true if the line ended a batch; reply() is then
  /// complete. Throws WireError, with the line number and the verb, if the line is malformed.
  bool ProcessLine(std::string_view line);
  /// The reply to the current batch. The reference is invalidated by the next call of ProcessLine().
  const std::string& reply() const { return reply_; }
  /// True between the BEGIN_BATCH and COMMIT lines of a batch.
  bool in_batch() const { return in_batch_; }

 private:
  class Instance;
  static constexpr std::size_t kMaxTables = 16;

  // A server as received. Each instance maps the zone and machine type to the indices in its own settings.
  struct Row {
    ServerInfo info;
    std::string zone;
    std::string machine;
  };

  void Dispatch(std::string_view verb, Fields& fields);
  // Handlers, one for each protocol verb.
  void OnArrival(Fields& fields);
  void OnResolved(Fields& fields);
  void OnTimerDue(Fields& fields);
  void OnClientTimedOut(Fields& fields);
  void OnHeaders(Fields& fields);
  void AddRow(Fields& fields);
  void BeginTable(Fields& fields);
  void OnDiscovery(Fields& fields);
  void CreateInstance(Fields& fields);
  void RemoveInstance(Fields& fields);
  void OnProbed(Fields& fields);
  void OnPeerMessage(Fields& fields);
  Instance& FindInstance(Fields& fields);
  static std::int64_t ParseInstanceNumber(Fields& fields);

  std::string reply_;
  std::uint64_t line_number_ = 0;
  Micros now_ = 0;
  bool clock_set_ = false;
  bool in_batch_ = false;
  std::array<std::vector<Row>, kMaxTables> tables_;
  std::size_t current_table_ = 0;
  std::int64_t rows_remaining_ = 0;
  std::unordered_map<std::int64_t, std::unique_ptr<Instance>> instances_;  // by number; never iterated
};

}  // namespace violetwing::bench_adapter

#endif  // VIOLETWING_BENCH_ADAPTER_HOST_HPP_
