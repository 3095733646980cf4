#include "lab/timeliness.hpp"

#include <chrono>
#include <thread>

namespace violetwing::lab {
namespace {

constexpr Micros kShortSleep = 1'000;
constexpr Micros kWindow = 1'000'000;
constexpr int kOneLate = 100;  // of so many sleeps one may be late

}  // namespace

bool AwaitTimeliness(const Sleep& sleep, Micros late, Micros most) {
  Micros spent = 0;
  while (spent < most) {
    int sleeps = 0;
    int late_sleeps = 0;
    for (Micros in_window = 0; in_window < kWindow; ++sleeps) {
      const Micros over = sleep(kShortSleep);
      late_sleeps += over > late ? 1 : 0;
      in_window += kShortSleep + over;
      spent += kShortSleep + over;
    }
    if (late_sleeps * kOneLate <= sleeps) return true;
  }
  return false;
}

Micros SleepOfThread(Micros time) {
  using Steady = std::chrono::steady_clock;
  const Steady::time_point end = Steady::now() + std::chrono::microseconds(time);
  std::this_thread::sleep_until(end);
  return std::chrono::duration_cast<std::chrono::microseconds>(Steady::now() - end).count();
}

}  // namespace violetwing::lab
