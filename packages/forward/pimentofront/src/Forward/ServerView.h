#ifndef PIMENTOFRONT_FORWARD_SERVER_VIEW_H
#define PIMENTOFRONT_FORWARD_SERVER_VIEW_H

#include "ConnectionShare.h"
#include "HeaderCodec.h"
#include "ServerPace.h"
#include "pimentofront/State.h"

namespace pimentofront {

/// \class ServerView
/// \ingroup Forward
/// \brief An entry's view of one process of a registered backend server.
struct ServerView {
  MemberRecord Record;
  /// Requests of this entry in flight at the server, each on a connection of
  /// its own.
  std::uint32_t InFlight = 0;
  ConnectionShare Connections;
  /// The load that the server reported last, and when the report arrived.
  ServerLoad Load;
  TimePoint LoadReportedAt;
  /// Requests of this entry sent since the last load report.
  std::uint32_t SentSinceReport = 0;
  /// The requests running and waiting at a server that declined another one
  /// because it was full, and when it last did.
  std::uint32_t LoadAtFullDecline = 0;
  TimePoint LastFullDeclineAt;
  ServerPace Pace;
  /// Set after connections failed. Until then the server is chosen only if no
  /// other server is available.
  TimePoint EjectedUntil;
  /// The server counts as cold until then.
  TimePoint ColdUntil;
  std::uint32_t Failures = 0;
  /// Requests in a row that it declined while its load reports showed free
  /// slots or while it sent none.
  std::uint32_t UnexplainedDeclines = 0;
  TimePoint LastDeclineAt;
  /// Exponentially weighted share of failures among its answers, updated with
  /// each answer.
  double FailureShare = 0;
  /// The replicas' leader has changed and the new one hasn't listed the server
  /// yet.
  bool Unconfirmed = false;
};

/// How a request to a backend server ended.
enum class ServerOutcome : std::uint8_t {
  Answered,
  /// The request was declined and not run: the server is full, or its process
  /// isn't the expected one.
  Declined,
  /// The server answered with a failure, broke off, or sent an invalid answer.
  Failed,
  /// No connection could be established.
  Unreachable,
};

/// Whether a server can take a request at once, by its last load report.
enum class ReportedRoom : std::uint8_t {
  /// It sends no load reports, or the last one has expired.
  Unknown,
  FreeSlots,
  /// All its slots are in use, or requests wait for them.
  Full,
};
/// \returns the name of \p room in logs and metrics.
const char *reportedRoomName(ReportedRoom room);

/// \class ServerSetOptions
/// \ingroup Forward
struct ServerSetOptions {
  ZoneName Zone;
  /// How much more loaded, as a fraction of its slots, a backend server in this
  /// zone may be than one in another zone before the other one is chosen.
  /// Traffic between zones costs money, and a plain service answers as well
  /// with half of its slots in use as when it is idle.
  double ZonePreference = 0.5;
  /// How long a server is avoided after its first connection failure or the
  /// exit of its process, and an agent after ejectAgent(). Doubles with each
  /// further failure, up to 16 times this value.
  Duration EjectionTime = std::chrono::milliseconds(250);
  /// Age at which a load report expires: loads change within a few requests.
  Duration LoadLifetime = std::chrono::seconds(1);
  /// Weight of the newest answer in the share of failures; 0.2 averages over
  /// about the last five answers.
  double FailureWeight = 0.2;
  /// An engine is ejected for OutlierEjectionTime when its share of failures
  /// exceeds the mean of its service by this much. Two failures in a row
  /// suffice.
  double EjectThreshold = 0.3;
  Duration OutlierEjectionTime = std::chrono::seconds(2);
  /// An engine is ejected for OutlierEjectionTime after this many unexplained
  /// declines in a row, and for longer after further ones. Fewer may concern an
  /// adapter that it is just loading.
  std::uint32_t EjectDeclines = 3;
  /// Maximum fraction of the engines that may be ejected at the same time.
  double MaxEjectedShare = 0.34;
  /// Added to a server's score, as a fraction of its slots, per unit by which
  /// its share of failures exceeds the mean of its service. At 3, a server
  /// whose share is higher by a third scores like one with all slots in use.
  double FailurePenalty = 3;
  /// After an unexplained decline a server scores as if all its slots were in
  /// use this many times, for DeclinePenaltyTime. Both double with each further
  /// decline in a row, up to 16 times. A server whose queue is full declines,
  /// too, but its reports explain that and raise its score.
  double DeclinePenalty = 1;
  Duration DeclinePenaltyTime = std::chrono::milliseconds(250);
  ServerPaceOptions Pace;
  /// How many times as long as the fastest server of its service a plain server
  /// must take for its pace to count, by the times of its answers or by a
  /// slowness that it states. Differences below go unnoticed by callers or are
  /// spread of service times.
  double NoticeableSlowness = 1.5;
  double NoticeableStatedSlowness = 1.2;
  ConnectionShareOptions Connections;
  /// Number of entries to assume until it is known. The connections to a server
  /// and the budget of sends to a second server are divided among them.
  std::uint32_t PresumedEntries = 10;
};

/// \returns the factor of an exponential backoff: 1, doubled with each failure
/// up to 16.
std::uint32_t backoffFactor(std::uint32_t failures);

/// \returns whether the last load report of \p server is still valid.
bool hasLoadReport(TimePoint now, const ServerSetOptions &options,
                   const ServerView &server);

} // namespace pimentofront

#endif
