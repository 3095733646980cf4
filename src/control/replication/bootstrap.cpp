#include "control/replication/bootstrap.hpp"

namespace violetwing {
namespace {

// Stored on disk and sent to peers: must not change, for compatibility with the first version.
constexpr const char* kBootstrapPrefix = "founder/";

}  // namespace

consensus::ReplicaId BootstrapReplicaId(const std::string& address) { return kBootstrapPrefix + address; }

bool IsBootstrapReplica(const consensus::ReplicaId& id) { return id.rfind(kBootstrapPrefix, 0) == 0; }

}  // namespace violetwing
