// The registries of a run: real `violetwing registry serve` processes, the leases of the lab's servers with
// them, and what they tell the sidecars. The leases are held by the code that `violetwing agent` ships.
#ifndef VIOLETWING_LAB_REGISTRIES_HPP_
#define VIOLETWING_LAB_REGISTRIES_HPP_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lab/door.hpp"
#include "lab/journal.hpp"
#include "lab/links.hpp"
#include "lab/process/shell.hpp"
#include "lab/servers.hpp"
#include "lab/world.hpp"
#include "registry/agent/shell.hpp"

namespace violetwing::lab {

struct RegistryWorld : World {
  Journal& journal;
  Links& links;
  std::string program;    // violetwing
  std::string directory;  // for configurations and stores
  std::function<std::string(int server)> address;
};

class Registries : public Beside {
 public:
  explicit Registries(RegistryWorld world);
  ~Registries() override;
  Registries(const Registries&) = delete;
  Registries& operator=(const Registries&) = delete;

  // Starts them all; `on_ready` once the primary writes and the others follow it. Throws std::runtime_error
  // if a configuration cannot be written, std::system_error if a process cannot be started.
  void Start(std::function<void()> on_ready);
  // `on_ready` once each of them lists so many servers.
  void AwaitListed(std::size_t servers, std::function<void()> on_ready);
  void Begun(const Entry& entry) override;
  void Drains(const Entry& entry, bool drains) override;
  void Leaves(const Entry& entry) override;
  void Lost(const Entry& entry) override;
  // Begins or ends the fault of this index; `done` is called when one ends by itself.
  void Apply(int fault, bool begin, const std::function<void()>& done);
  // Where a sidecar asks: one of them is its own, the others follow in a ring.
  std::vector<Tcp::endpoint> AddressesOf(int sidecar);
  // Asks all for their lists and compares them with what the sidecars were told; ends them then.
  void Finish(std::function<void()> on_end);

 private:
  struct Node {
    std::unique_ptr<Door> door;  // keeps the address
    std::shared_ptr<Child> child;
    bool told_to_end = false;
  };
  struct Told {
    bool known = false;
    nlohmann::json list;
    nlohmann::json status;
  };
  using Lists = std::vector<Told>;

  void StartNode(int number);
  void OnNodeEnd(int number, const std::string& how, bool cleanly);
  void Kill(int number);
  void AwaitStatus(std::function<bool(const std::vector<nlohmann::json>&)> enough,
                   std::function<void()> done);
  void Ask(int number, const std::string& target, const std::function<void(const std::string&)>& take);
  void OnLine(int sidecar, const std::string& line);
  void Compare(const Lists& lists);
  void AwaitEnds(const std::function<void()>& on_end, int looks);
  std::string File(int number, const char* ending) const;

  RegistryWorld world_;
  Children children_;
  std::vector<Node> nodes_;
  std::map<std::string, std::unique_ptr<registry::LeaseHolder>> leases_;
  std::vector<std::map<std::string, std::string>> views_;  // of each sidecar: lifecycle by id
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_REGISTRIES_HPP_
