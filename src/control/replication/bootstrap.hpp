// Ids of the replicas that form the first membership of each shard.
#ifndef VIOLETWING_CONTROL_REPLICATION_BOOTSTRAP_HPP_
#define VIOLETWING_CONTROL_REPLICATION_BOOTSTRAP_HPP_

#include <string>

#include "control/consensus/replica.hpp"

namespace violetwing {

/// Replica id of the first disk of the process at this internal address (host:port). It is deterministic, so
/// that all processes derive the same initial voters from the seed nodes. Later disks get a random id.
consensus::ReplicaId BootstrapReplicaId(const std::string& address);

/// Whether the id was returned by BootstrapReplicaId.
bool IsBootstrapReplica(const consensus::ReplicaId& id);

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_REPLICATION_BOOTSTRAP_HPP_
