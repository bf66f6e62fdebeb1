#include "LossSchedule.h"

#include <algorithm>

namespace pimentofront::testing {
namespace {

using namespace std::chrono_literals;

constexpr Duration ShortestDay = 15s;
constexpr Duration LongestDay = 45s;
constexpr std::size_t WantedHosts = 3;
constexpr std::size_t MaxOthers = 3;
/// All are back within this time after a common loss.
constexpr Duration CommonLoss = 1s;

} // namespace

std::string LossSchedule::play() {
  const TimePoint end = Group.now() + Group.between(ShortestDay, LongestDay);
  Group.begin();
  loseUntil(Group.now() + 300ms);
  waitForNextLoss();
  loseOthersAgain();
  while (Group.now() < end && Group.broken().empty()) {
    lose();
    waitForNextLoss();
  }
  OthersAreLost = false;
  if (Group.broken().empty())
    finalLoss();
  if (Group.broken().empty())
    checkRecovery();
  return Group.broken().empty() ? std::string()
                                : Group.broken() + Group.report();
}

/// A common loss may come meanwhile and move the time.
void LossSchedule::waitForNextLoss() {
  while (Group.now() < NextLossAt && Group.broken().empty())
    Group.runUntil(std::min(NextLossAt, Group.now() + 20ms));
}

void LossSchedule::lose() {
  if (Group.chance(0.2))
    scheduleCommonLoss();
  const auto hosts = counted();
  const std::size_t host = pickOf(hosts);
  const double kind = Group.Rng.uniform();
  if (hosts.size() > WantedHosts && kind < 0.6)
    return stopWithSuccessor(host);
  if (kind < 0.55)
    return loseForAWhile(host);
  if (kind < 0.7)
    return replaceAbruptly(host);
  if (kind < 0.88 || hosts.size() > WantedHosts)
    return replaceByRequest(host);
  Group.addReplica(/*counted=*/true);
  loseUntil(Group.now());
}

//===----------------------------------------------------------------------===//
// A counted host
//===----------------------------------------------------------------------===//

/// While the host still counts as lost, it may be lost again.
void LossSchedule::loseForAWhile(std::size_t host) {
  const Duration d = passingLoss(host);
  loseUntil(Group.now() + d);
  while (Group.chance(0.3) && Group.broken().empty()) {
    Group.runUntil(CountedBackAt + Group.upTo(CatchUpTime));
    if (Group.now() >= NextLossAt)
      return;
    loseUntil(Group.now() + passingLoss(host));
  }
}

Duration LossSchedule::passingLoss(std::size_t host) {
  const double kind = Group.Rng.uniform();
  if (kind < 0.4)
    return restart(host, /*mayLoseDisk=*/true);
  if (kind < 0.75)
    return cutOff(host);
  const Duration d = Group.between(100ms, 7s);
  if (kind < 0.9)
    Group.freeze(host, d);
  else
    Group.fillDisk(host, d);
  return d;
}

Duration LossSchedule::restart(std::size_t host, bool mayLoseDisk) {
  const Duration d =
      Group.chance(0.5) ? Group.between(50ms, 1s) : Group.between(1s, 7s);
  const bool diskLost = mayLoseDisk && Group.chance(0.4);
  const Duration unreadable =
      !diskLost && Group.chance(0.2) ? Group.upTo(4s) : Duration::zero();
  Group.takeDown(host, {.For = d,
                        .PowerLost = Group.chance(0.5),
                        .DiskLost = diskLost,
                        .Unreadable = unreadable});
  return d + unreadable;
}

Duration LossSchedule::cutOff(std::size_t host) {
  constexpr std::array Directions{Direction::Both, Direction::In,
                                  Direction::Out};
  const Direction direction =
      Group.chance(0.5) ? Direction::Both : Directions.at(Group.pick(3));
  std::vector<std::size_t> others = everybody();
  if (Group.chance(0.5))
    std::erase_if(others, [&](std::size_t) { return Group.chance(0.5); });
  const Duration d = Group.between(100ms, 8s);
  Group.cut({host}, others, direction, d);
  return d;
}

/// The successor starts after the host is gone, or before. In the latter case
/// the host counts as lost from when it is gone, as if it were to come back.
void LossSchedule::replaceAbruptly(std::size_t host) {
  const bool powerLost = Group.chance(0.7);
  if (Group.chance(0.7)) {
    Group.removeAbruptly(host, powerLost);
    const Duration gap =
        Group.chance(0.3) ? Duration::zero() : Group.between(100ms, 6s);
    loseUntil(Group.now() + gap);
    Group.runUntil(Group.now() + gap);
    Group.addReplica(/*counted=*/true);
    return loseUntil(Group.now());
  }
  Group.addReplica(/*counted=*/true);
  loseUntil(Group.now());
  Group.runUntil(Group.now() + Group.upTo(CatchUpTime));
  Group.removeAbruptly(host, powerLost);
  loseUntil(Group.now());
}

/// A host that is asked to stop counts as lost until it has stopped, and until
/// its successor has had its time.
void LossSchedule::replaceByRequest(std::size_t host) {
  if (Group.chance(0.3)) {
    askToStop(host);
    loseUntil(Group.now());
    Group.runUntil(Group.now() + Group.upTo(5s));
    Group.addReplica(/*counted=*/true);
    loseUntil(Group.now());
    return waitUntilStopped(host);
  }
  Group.addReplica(/*counted=*/true);
  loseUntil(Group.now());
  Group.runUntil(Group.now() +
                 (Group.chance(0.5) ? CatchUpTime : Group.upTo(CatchUpTime)));
  askToStop(host);
  waitUntilStopped(host);
}

void LossSchedule::stopWithSuccessor(std::size_t host) {
  askToStop(host);
  waitUntilStopped(host);
}

/// A common loss may just have taken the host down.
void LossSchedule::askToStop(std::size_t host) {
  while (!Group.isRunning(host) && Group.broken().empty())
    Group.runUntil(Group.now() + 20ms);
  Group.askToStop(host);
}

void LossSchedule::waitUntilStopped(std::size_t host) {
  while (!Group.Hosts[host].Removed && Group.broken().empty())
    Group.runUntil(Group.now() + 20ms);
  CountedBackAt = std::max(CountedBackAt, Group.now());
  permitNextAt(Group.now());
}

//===----------------------------------------------------------------------===//
// All hosts
//===----------------------------------------------------------------------===//

void LossSchedule::scheduleCommonLoss() {
  const double kind = Group.Rng.uniform();
  const bool power = Group.chance(0.5);
  const bool others = Group.chance(0.5);
  const auto action = [=, this] {
    if (FinalLossCame)
      return;
    if (kind < 0.2)
      split();
    else
      loseAll(power, others, std::nullopt);
  };
  if (Group.chance(0.5))
    Group.OnNextAck = action;
  else
    Group.Sim.after(Group.upTo(6s), action);
}

void LossSchedule::loseAll(bool power, bool others,
                           std::optional<std::size_t> wiped) {
  const TimePoint back = Group.now() + CommonLoss;
  for (const std::size_t i :
       Group.hostsThat([&](const auto &it) { return it.Counted || others; }))
    Group.takeDown(i, {.For = Group.between(200ms, CommonLoss),
                       .PowerLost = power,
                       .DiskLost = wiped == i});
  // One that is about to stop for good doesn't come back.
  for (std::size_t i = 0; i < Group.Hosts.size(); ++i)
    if (Group.Hosts[i].Leaving && !Group.Hosts[i].Removed &&
        (Group.Hosts[i].Counted || others))
      Group.takeDown(i, {.PowerLost = power});
  loseUntil(back);
  othersUntil(back);
  Group.allowPause(back);
}

void LossSchedule::split() {
  std::vector<std::size_t> one = counted();
  std::vector<std::size_t> other;
  const std::size_t size = 1 + Group.pick(one.size() - 1);
  while (other.size() < size) {
    const std::size_t i = Group.pick(one.size());
    other.push_back(one[i]);
    one.erase(one.begin() + static_cast<std::ptrdiff_t>(i));
  }
  const Duration d = Group.between(200ms, 6s);
  Group.cut(one, other, Direction::Both, d);
  loseUntil(Group.now() + d);
  Group.allowPause(Group.now() + d);
}

//===----------------------------------------------------------------------===//
// Hosts that aren't counted, and entries
//===----------------------------------------------------------------------===//

void LossSchedule::loseOthersAgain() {
  if (!OthersAreLost)
    return;
  loseOther();
  Group.Sim.after(Group.between(300ms, 5s), [this] { loseOthersAgain(); });
}

void LossSchedule::loseOther() {
  const auto replicas = Group.hostsThat(
      [](const LossHost &it) { return !it.Counted && !it.IsEntry; });
  if (replicas.size() < MaxOthers && Group.chance(0.4)) {
    Group.addReplica(/*counted=*/false);
    return othersUntil(Group.now());
  }
  const std::size_t host =
      pickOf(Group.hostsThat([](const LossHost &it) { return !it.Counted; }));
  const bool isEntry = Group.Hosts[host].IsEntry;
  const double kind = Group.Rng.uniform();
  if (!isEntry && kind < 0.2) {
    if (Group.chance(0.5) && Group.isRunning(host))
      Group.askToStop(host);
    else
      Group.removeAbruptly(host, Group.chance(0.5));
    return;
  }
  if (kind < 0.5)
    return othersUntil(Group.now() + restart(host, /*mayLoseDisk=*/!isEntry));
  if (kind < 0.75)
    return othersUntil(Group.now() + cutOff(host));
  const Duration d = Group.between(100ms, 7s);
  if (isEntry || kind < 0.9)
    Group.freeze(host, d);
  else
    Group.fillDisk(host, d);
  othersUntil(Group.now() + d);
}

//===----------------------------------------------------------------------===//
// The end
//===----------------------------------------------------------------------===//

/// Comes at the very moment at which a command is acknowledged, unless a common
/// loss has moved the time of the next one.
void LossSchedule::finalLoss() {
  const TimePoint begin = Group.now();
  while (!FinalLossCame && Group.broken().empty()) {
    if (Group.now() > std::max(begin, CountedBackAt) + RecoveryTime)
      return Group.fail("no command is acknowledged");
    Group.OnNextAck = [this] {
      if (Group.now() >= NextLossAt)
        loseAtTheEnd();
    };
    Group.runUntil(Group.now() + 20ms);
  }
}

void LossSchedule::loseAtTheEnd() {
  FinalLossCame = true;
  Group.note("the final loss");
  const std::size_t wiped = pickOf(counted());
  const double kind = Group.Rng.uniform();
  if (kind < 0.1)
    return loseAll(/*power=*/true, /*others=*/true, std::nullopt);
  if (kind < 0.2)
    return loseAll(/*power=*/false, /*others=*/true, std::nullopt);
  loseAll(/*power=*/true, /*others=*/kind < 0.5, wiped);
}

void LossSchedule::checkRecovery() {
  const TimePoint lostAt = Group.now();
  std::string lacks = Group.lacksService(lostAt);
  while (!lacks.empty() && Group.now() < CountedBackAt + RecoveryTime &&
         Group.broken().empty()) {
    Group.runUntil(Group.now() + 20ms);
    lacks = Group.lacksService(lostAt);
  }
  if (!lacks.empty())
    return Group.fail("after the final loss: " + lacks);
  const TimePoint end = std::max(CountedBackAt, OthersBackAt) + RecoveryTime;
  // What was lost last among the others has to be back first.
  Group.runUntil(std::max(Group.now(), OthersBackAt));
  lacks = Group.lacksFollowers();
  while (!lacks.empty() && Group.now() < end && Group.broken().empty()) {
    Group.runUntil(Group.now() + 20ms);
    lacks = Group.lacksFollowers();
  }
  if (!lacks.empty())
    Group.fail("after the final loss: " + lacks);
}

} // namespace pimentofront::testing
