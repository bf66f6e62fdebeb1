#ifndef PIMENTOFRONT_TEST_LOSS_SCHEDULE_H
#define PIMENTOFRONT_TEST_LOSS_SCHEDULE_H

#include "LossGroup.h"

namespace pimentofront::testing {

/// \class LossSchedule
/// \brief Losses that a group has to bear, drawn by a seed.
///
/// Of the counted hosts at most one is lost at a time. A host is lost while it
/// is down, frozen or cut off, while its disk accepts nothing, and for
/// `CatchUpTime` after it is back or, if it is new, after it has started. One
/// that is gone for good stops counting when its successor has had that time.
/// The next loss comes at the very moment at which it is permitted. Beside
/// that, all hosts may be killed or lose power at once, or be split in two; and
/// hosts that aren't counted, and entries, are lost at any time.
class LossSchedule {
public:
  explicit LossSchedule(std::uint64_t seed) : Group(seed) {}

  /// \returns what broke, with the list of faults, or an empty string.
  std::string play();

private:
  using Direction = LossGroup::Direction;

  void permitNextAt(TimePoint at) { NextLossAt = std::max(NextLossAt, at); }
  /// A counted host is lost until \p back.
  void loseUntil(TimePoint back) {
    CountedBackAt = std::max(CountedBackAt, back);
    permitNextAt(back + CatchUpTime);
  }
  void othersUntil(TimePoint back) {
    OthersBackAt = std::max(OthersBackAt, back);
  }
  void waitForNextLoss();
  void lose();

  // Losses of a counted host.
  void loseForAWhile(std::size_t host);
  /// \returns for how long \p host is lost.
  Duration passingLoss(std::size_t host);
  Duration restart(std::size_t host, bool mayLoseDisk);
  Duration cutOff(std::size_t host);
  void replaceAbruptly(std::size_t host);
  void replaceByRequest(std::size_t host);
  void stopWithSuccessor(std::size_t host);
  void askToStop(std::size_t host);
  void waitUntilStopped(std::size_t host);

  // Losses of all.
  void scheduleCommonLoss();
  void loseAll(bool power, bool others, std::optional<std::size_t> wiped);
  void split();

  // Losses of hosts that aren't counted.
  void loseOthersAgain();
  void loseOther();

  void finalLoss();
  void loseAtTheEnd();
  void checkRecovery();

  std::vector<std::size_t> counted() {
    return Group.hostsThat([](const LossHost &it) { return it.Counted; });
  }
  std::vector<std::size_t> everybody() {
    return Group.hostsThat([](const LossHost &) { return true; });
  }
  std::size_t pickOf(const std::vector<std::size_t> &hosts) {
    return hosts.at(Group.pick(hosts.size()));
  }

  LossGroup Group;
  TimePoint NextLossAt;
  TimePoint CountedBackAt;
  TimePoint OthersBackAt;
  bool OthersAreLost = true;
  bool FinalLossCame = false;
};

} // namespace pimentofront::testing

#endif
