#include "control/consensus/log.hpp"

#include <iterator>
#include <utility>

namespace violetwing::consensus {
namespace {

// Bounds on the entries retained although a snapshot covers them. A replica that receives a snapshot finds
// the entries appended during the transfer among them. 512 entries last about 40 s at 12 changes per second.
constexpr std::size_t kMaxRetainedEntries = 512;
constexpr std::size_t kMaxRetainedBytes = std::size_t{1024} * 1024;

}  // namespace

Log::Log(Index base, Term base_term, std::vector<Entry> entries)
    : entries_(std::make_move_iterator(entries.begin()), std::make_move_iterator(entries.end())),
      base_(base),
      base_term_(base_term) {}

Term Log::TermAt(Index index) const {
  if (index == base_) return base_term_;
  if (index < base_ || index > last_index()) return 0;
  return At(index).term;
}

void Log::TruncateFrom(Index index) { entries_.resize(index - base_ - 1); }

void Log::Reset(Index base, Term base_term) {
  entries_.clear();
  base_ = base;
  base_term_ = base_term;
}

void Log::Compact(Index snapshot_index) {
  std::size_t retained = 0;
  std::size_t bytes = 0;
  while (snapshot_index - retained > base_ && retained < kMaxRetainedEntries && bytes <= kMaxRetainedBytes) {
    bytes += At(snapshot_index - retained).command.size();
    ++retained;
  }
  const Index base = snapshot_index - retained;
  base_term_ = TermAt(base);
  entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(base - base_));
  base_ = base;
}

}  // namespace violetwing::consensus
