// Ids of the replicas that form the first membership of each shard.
#ifndef VIOLETWING_CONTROL_REPLICATION_BOOTSTRAP_HPP_
#define VIOLETWING_CONTROL_REPLICATION_BOOTSTRAP_HPP_

#include <string>

#include "control/consensus/replica.hpp"

namespace violetwing {

/// The id of the first disk of the process at this internal address (host:port). All processes derive the
/// initial voters from the seeds by it; every later disk draws a random id.
consensus::ReplicaId BootstrapReplicaId(const std::string& address);

/// Whether the id was made by BootstrapReplicaId.
bool IsBootstrapReplica(const consensus::ReplicaId& id);

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_REPLICATION_BOOTSTRAP_HPP_
