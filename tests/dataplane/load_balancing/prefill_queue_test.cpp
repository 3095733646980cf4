// The estimate of servers' prefill queues.
#include "dataplane/load_balancing/prefill_queue.hpp"

#include <catch2/catch.hpp>
#include <cstdint>

namespace violetwing {
namespace {

constexpr std::int64_t kSecond = 1'000'000;

}  // namespace

TEST_CASE("Queued prefill times add up, and decrease as time passes") {
  PrefillQueue queue;
  queue.Enqueue("i-0", 200, kSecond);
  queue.Enqueue("i-0", 100, kSecond + 50'000);
  CHECK(queue.RemainingMs("i-0", kSecond + 50'000) == Approx(250));
  CHECK(queue.RemainingMs("i-0", kSecond + 200'000) == Approx(100));
  CHECK(queue.RemainingMs("i-0", 2 * kSecond) == 0);
  CHECK(queue.RemainingMs("i-1", kSecond) == 0);
  queue.Enqueue("i-0", 100, 3 * kSecond);  // the queue was empty in between
  CHECK(queue.RemainingMs("i-0", 3 * kSecond) == Approx(100));
}

TEST_CASE("A first byte, early or late, removes its prompt and those queued before it") {
  PrefillQueue queue;
  queue.Enqueue("i-0", 200, kSecond);
  queue.Enqueue("i-0", 300, kSecond + 1);
  queue.Enqueue("i-0", 50, kSecond + 2);
  queue.OnPrefillDone("i-0", kSecond + 1, kSecond + 100'000);
  CHECK(queue.RemainingMs("i-0", kSecond + 100'000) == Approx(50));
  queue.Enqueue("i-0", 100, kSecond + 200'000);
  // Later than expected: the last prompt has not been prefilled yet.
  queue.OnPrefillDone("i-0", kSecond + 2, 2 * kSecond);
  CHECK(queue.RemainingMs("i-0", 2 * kSecond) == Approx(100));
  queue.OnPrefillDone("i-1", kSecond, kSecond);
  CHECK(queue.RemainingMs("i-1", kSecond) == 0);
}

TEST_CASE("Expired prompts are removed from the prefill queue") {
  PrefillQueue queue;
  queue.Enqueue("i-0", 200, kSecond);
  queue.RemoveExpired(20 * kSecond);
  queue.Enqueue("i-0", 100, 20 * kSecond);
  queue.OnPrefillDone("i-0", 0, 20 * kSecond);
  CHECK(queue.RemainingMs("i-0", 20 * kSecond) == Approx(100));
}

}  // namespace violetwing
