// Names of the files that the sidecar stores in TMPDIR. The old and the new process of an upgrade share them,
// so they keep the names that the first version used, which have the program's earlier name in them.
#ifndef VIOLETWING_SIDECAR_STORED_NAMES_HPP_
#define VIOLETWING_SIDECAR_STORED_NAMES_HPP_

namespace violetwing::sidecar::stored_names {

/// Prefix of an empty file for each server that an operator disabled; the server's id follows in hex.
inline constexpr const char* kDisabledServerPrefix = "fennelhollow-ban-";
/// Prefix of a file with an order for a zone as text (zone_orders.hpp); the zone's name follows in hex.
inline constexpr const char* kZonePrefix = "fennelhollow-zone-";
/// Exists once a process has served clients, so that the next process starts as its successor.
inline constexpr const char* kServed = "fennelhollow-served";
/// The last complete list of servers, in discovery's JSON form (last_list.hpp).
inline constexpr const char* kLastList = "fennelhollow-last-list.json";

}  // namespace violetwing::sidecar::stored_names

#endif  // VIOLETWING_SIDECAR_STORED_NAMES_HPP_
