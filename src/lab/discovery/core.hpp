// The lab's scripted discovery without its sockets: entries, generations, and what a caller of a generation
// is owed (PROTOCOL, "Discovery"). Pure.
#ifndef VIOLETWING_LAB_DISCOVERY_CORE_HPP_
#define VIOLETWING_LAB_DISCOVERY_CORE_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/records.hpp"

namespace violetwing::lab {

struct Entry {
  std::string id;
  int server = 0;  // number in the plan
  Lifecycle lifecycle = Lifecycle::kUp;
  std::int64_t started_ms = 0;
};

class DiscoveryCore {
 public:
  struct Answer {
    std::int64_t generation = 0;
    bool reset = false;
    std::vector<Entry> entries;
  };

  void Put(const Entry& entry);
  // Begins again: what is known stays, and is told from generation 1 on.
  void BeginAgain();

  std::int64_t generation() const { return generation_; }
  Answer Whole() const;  // without what was removed
  // What has changed after `index`; the whole list if `index` is of no version that was ever told.
  Answer Since(std::int64_t index) const;

 private:
  struct Kept {
    Entry entry;
    std::int64_t changed = 0;  // the generation of its last change
  };
  std::int64_t generation_ = 1;
  std::map<std::string, Kept> entries_;
};

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_DISCOVERY_CORE_HPP_
