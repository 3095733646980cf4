// Tracks for how long a control process has been in contact with a quorum, or without contact.
#ifndef VIOLETWING_CONTROL_CORE_QUORUM_CONTACT_HPP_
#define VIOLETWING_CONTROL_CORE_QUORUM_CONTACT_HPP_

#include "common/time.hpp"

namespace violetwing {

/// Times are in microseconds of one steady clock, and greater than 0.
class QuorumContact {
 public:
  /// Starts without contact since `now`.
  explicit QuorumContact(Micros now) : lost_at_(now) {}

  /// Records whether there is contact now. To be called at short intervals.
  void Update(bool in_contact, Micros now) {
    if (in_contact) {
      lost_at_ = 0;
      if (established_at_ == 0) established_at_ = now;
    } else {
      established_at_ = 0;
      if (lost_at_ == 0) lost_at_ = now;
    }
  }

  /// Whether there has been contact for more than `duration`, as of the last update.
  bool HasLasted(Micros duration, Micros now) const {
    return established_at_ > 0 && now - established_at_ > duration;
  }
  /// Whether there has been no contact for more than `duration`, as of the last update.
  bool HasBeenLost(Micros duration, Micros now) const { return lost_at_ > 0 && now - lost_at_ > duration; }

 private:
  Micros established_at_ = 0;  // 0: without contact
  Micros lost_at_ = 0;         // 0: in contact
};

}  // namespace violetwing

#endif  // VIOLETWING_CONTROL_CORE_QUORUM_CONTACT_HPP_
