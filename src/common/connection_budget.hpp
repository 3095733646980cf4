// Bounds what the connections of a listener hold together, and decides which of them gives way when that is
// too much (docs/overload.md). Pure logic: it uses no clock, socket or thread.
#ifndef VIOLETWING_COMMON_CONNECTION_BUDGET_HPP_
#define VIOLETWING_COMMON_CONNECTION_BUDGET_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>

#include "common/time.hpp"

namespace violetwing {

/// What a connection is doing. The order of the phases says nothing.
enum class ConnectionPhase {
  kIdle,     ///< no request is being read or served
  kReading,  ///< a request has begun to arrive and is not complete
  kServing,  ///< a complete request is being served; never gives way
  kWriting,  ///< the peer has not yet taken a part of the response that was written
  kClosing,  ///< the last response is written, the peer has not closed its side yet
};

/// Why a connection has to give way.
enum class Eviction {
  kMemory,      ///< release the memory; a response may still be sent
  kConnection,  ///< close the connection at once
};

class ConnectionBudget;

/// What one connection holds. The budget must outlive it. Times never go back.
class ConnectionClaim {
 public:
  /// `give_way` is called at most once for each Eviction, from within a call for another connection. It must
  /// reduce the claim for kMemory, and close the connection for kConnection, whose claim is released by then.
  ConnectionClaim(ConnectionBudget& budget, std::function<void(Eviction)> give_way, Micros now);
  ~ConnectionClaim();
  ConnectionClaim(const ConnectionClaim&) = delete;
  ConnectionClaim& operator=(const ConnectionClaim&) = delete;

  /// The connection enters a phase. Entering the phase that it is in has no effect.
  void Enter(ConnectionPhase phase, Micros now);
  /// Sets the bytes that the connection holds. If there is no room for more, others give way; returns false
  /// and changes nothing if that is not enough. Reducing always succeeds.
  [[nodiscard]] bool Resize(std::size_t bytes, Micros now);
  /// The connection is closed: it no longer counts.
  void Release();

  /// The bytes that the connection holds.
  std::size_t bytes() const { return bytes_; }

 private:
  friend class ConnectionBudget;

  ConnectionBudget& budget_;
  const std::function<void(Eviction)> give_way_;
  std::size_t bytes_ = 0;
  ConnectionPhase phase_ = ConnectionPhase::kIdle;
  Micros phase_began_;
  std::list<ConnectionClaim*>::iterator position_;  // in the list of its phase
  bool released_ = false;
  bool evicted_ = false;  // gave way for memory
};

/// The sum of the claims of a listener's connections. Not thread-safe.
///
/// A connection gives way only if it has been reading, or has not taken what was written, for kMinPhaseTime:
/// an ordinary peer needs less. The one that has done so for the longest time goes first. Large claims make
/// only large claims give way, and leave a quarter of the memory to small ones.
class ConnectionBudget {
 public:
  /// A claim of more bytes than this is large.
  static constexpr std::size_t kSmallClaimBytes = std::size_t{256} * 1024;
  /// Time for which a connection may read a request, or leave a response unread, before it may give way.
  static constexpr Micros kMinPhaseTime = 1'000'000;

  /// The limits of a listener.
  struct Limits {
    std::size_t max_connections = 0;
    std::size_t max_bytes = 0;
  };

  /// Nothing is held yet.
  explicit ConnectionBudget(Limits limits) : limits_(limits) {}

  /// Makes room for one more connection: one that is closing, idle, or overdue, in this order, is closed.
  /// Returns false if there is none; the new connection must then be refused.
  [[nodiscard]] bool AdmitConnection(Micros now);

  /// The largest number of bytes that one connection can hold.
  std::size_t max_claim_bytes() const { return limits_.max_bytes / 4 * 3; }
  /// The number of claims that are not released.
  std::size_t connections() const { return connections_; }
  /// The sum of all claims.
  std::size_t bytes() const { return bytes_; }

 private:
  friend class ConnectionClaim;
  using Claims = std::list<ConnectionClaim*>;
  static constexpr std::size_t kPhases = 5;
  enum class VictimSize { kAny, kLarge };

  static bool IsLarge(std::size_t bytes) { return bytes > kSmallClaimBytes; }
  Claims& InPhase(ConnectionPhase phase) { return claims_[static_cast<std::size_t>(phase)]; }
  bool Fits(const ConnectionClaim& claim, std::size_t bytes) const;
  bool MakeRoom(const ConnectionClaim& claim, std::size_t bytes, Micros now);
  ConnectionClaim* FindOverdue(const ConnectionClaim* except, VictimSize size, Micros now);
  void Count(ConnectionClaim& claim, std::size_t bytes);

  const Limits limits_;
  std::array<Claims, kPhases> claims_;  // by phase; within one, in the order in which they entered it
  std::size_t connections_ = 0;
  std::size_t bytes_ = 0;
  std::size_t large_bytes_ = 0;
};

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_CONNECTION_BUDGET_HPP_
