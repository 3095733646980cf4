// Names of the files that the sidecar keeps in TMPDIR. The processes of an upgrade share them, so that they
// stay as the first version wrote them, under the program's earlier name.
#ifndef VIOLETWING_SIDECAR_STORED_NAMES_HPP_
#define VIOLETWING_SIDECAR_STORED_NAMES_HPP_

namespace violetwing::sidecar::stored_names {

/// An empty file for each server that an operator has taken out; the server's id follows in hex.
inline constexpr const char* kDisabledServerPrefix = "fennelhollow-ban-";
/// An order for a zone as text (zone_orders.hpp); the zone's name follows in hex.
inline constexpr const char* kZonePrefix = "fennelhollow-zone-";
/// Present once a process has taken clients: the next one succeeds it.
inline constexpr const char* kServed = "fennelhollow-served";
/// The last complete list of servers, in discovery's JSON form (last_list.hpp).
inline constexpr const char* kLastList = "fennelhollow-last-list.json";

}  // namespace violetwing::sidecar::stored_names

#endif  // VIOLETWING_SIDECAR_STORED_NAMES_HPP_
