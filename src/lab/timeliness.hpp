// Whether the machine gives this process its time, told by how late short sleeps end. A run in which the lab
// itself was late says nothing of the sidecars; it is played again once the machine is timely.
#ifndef VIOLETWING_LAB_TIMELINESS_HPP_
#define VIOLETWING_LAB_TIMELINESS_HPP_

#include <functional>

#include "lab/scenario.hpp"

namespace violetwing::lab {

// Sleeps for a time and returns by how much longer it took.
using Sleep = std::function<Micros(Micros time)>;

// Sleeps until, of a second of short sleeps, 99 in 100 end no later than `late`. False if no such second came
// within `most`, which is counted in the sleeps' own time.
bool AwaitTimeliness(const Sleep& sleep, Micros late, Micros most);

// A sleep of the calling thread, by the steady clock.
Micros SleepOfThread(Micros time);

}  // namespace violetwing::lab

#endif  // VIOLETWING_LAB_TIMELINESS_HPP_
