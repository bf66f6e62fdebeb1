#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// \returns the requests that run or wait at the server at present: what it
/// reported, less what it has completed since, plus what this entry has sent.
double requestsAt(TimePoint now, const ServerView &server, double perSecond) {
  // The other entries go on sending while this one has no new report.
  constexpr double DrainShare = 0.5;
  const double drained =
      DrainShare * perSecond * toSeconds(now - server.LoadReportedAt);
  const double reported = server.Load.Running + server.Load.Waiting;
  return std::max<double>(server.InFlight, std::max(reported - drained, 0.0) +
                                               server.SentSinceReport);
}

bool wouldDecline(TimePoint now, const ServerView &server, double requests) {
  // The length of a server's queue rarely changes while its process runs.
  constexpr Duration LimitLifetime = std::chrono::seconds(30);
  if (server.LoadAtFullDecline == 0 ||
      now >= server.LastFullDeclineAt + LimitLifetime)
    return false;
  // Half of the queue is left to what the other entries send before the next
  // report arrives.
  const std::uint32_t slots = std::max(server.Record.Slots, 1U);
  const std::uint32_t limit =
      (std::max(server.LoadAtFullDecline, slots) + slots) / 2;
  return requests >= limit;
}

} // namespace

std::optional<WaitReport>
waitReportOf(TimePoint now, const ServerSetOptions &options,
             const std::vector<const ServerView *> &open) {
  // An older report than this doesn't describe the same load as the newest one.
  constexpr Duration RecentTime = std::chrono::milliseconds(250);
  TimePoint newest;
  for (const ServerView *it : open)
    newest = std::max(newest, it->LoadReportedAt);
  std::optional<WaitReport> shortest;
  for (const ServerView *it : open) {
    const Duration pace = it->Pace.expected(now, options.Pace);
    if (!hasLoadReport(now, options, *it) || pace <= Duration::zero() ||
        it->LoadReportedAt + RecentTime < newest)
      continue;
    const std::uint32_t slots = std::max(it->Record.Slots, 1U);
    const Duration wait =
        fromSeconds(toSeconds(pace) * it->Load.Waiting / slots);
    if (shortest && wait >= shortest->Wait)
      continue;
    shortest = WaitReport{.Wait = wait, .Pace = pace, .At = it->LoadReportedAt};
  }
  return shortest;
}

PlainRoom plainRoomOf(TimePoint now, const ServerSetOptions &options,
                      const std::vector<const ServerView *> &open) {
  PlainRoom room{.Full = !open.empty(),
                 .WouldDecline = !open.empty(),
                 .ReportedFull = !open.empty()};
  std::optional<Duration> soonest;
  for (const ServerView *it : open) {
    const Duration pace = it->Pace.expected(now, options.Pace);
    if (!hasLoadReport(now, options, *it) || pace <= Duration::zero())
      return {};
    const double slots = std::max(it->Record.Slots, 1U);
    const double perSecond = slots / toSeconds(pace);
    const double requests = requestsAt(now, *it, perSecond);
    room.Full = room.Full && requests >= slots;
    room.ReportedFull =
        room.ReportedFull && it->Load.Running + it->Load.Waiting >= slots;
    room.FreeSlots +=
        static_cast<std::uint32_t>(std::max(slots - requests, 0.0));
    room.Slots += static_cast<std::uint32_t>(slots);
    room.CompletionsPerSecond += perSecond;
    room.WouldDecline = room.WouldDecline && wouldDecline(now, *it, requests);
    const Duration startsIn =
        fromSeconds(std::max(requests - slots + 1, 0.0) / perSecond);
    if (soonest && startsIn + pace >= *soonest)
      continue;
    soonest = startsIn + pace;
    room.StartsIn = startsIn;
    room.Best = it->Record.process();
    room.Pace = pace;
  }
  return room;
}

} // namespace pimentofront
