#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {
namespace {

std::string ipOf(const std::string &address) {
  return address.substr(0, address.rfind(':'));
}

/// \returns \p first, doubled with each failure up to 16 times.
Duration backoffDelay(Duration first, std::uint32_t failures) {
  return first * backoffFactor(failures);
}

template <class Views> void markUnconfirmed(Views &views) {
  for (auto &[host, it] : views)
    it.Unconfirmed = true;
}

template <class Views> void dropUnconfirmed(Views &views) {
  std::erase_if(views, [](const auto &it) { return it.second.Unconfirmed; });
}

} // namespace

bool belongsTo(const MemberRecord &server, const ServiceName &service) {
  return std::ranges::find(server.Services, service) != server.Services.end();
}

void ServerSet::apply(TimePoint now, const MemberUpdate &update) {
  // A new leader knows only the members that have contacted it. Until it has
  // led for one member lease, members missing from its list may still exist.
  if (update.Full) {
    Complete = false;
    markUnconfirmed(Servers);
    markUnconfirmed(Agents);
  }
  for (const MemberRecord &it : update.Members)
    put(now, it);
  if (update.Complete) {
    Complete = true;
    HasBeenComplete = true;
    dropUnconfirmed(Servers);
    dropUnconfirmed(Agents);
  }
  matchAgentsToServers();
}

void ServerSet::put(TimePoint now, const MemberRecord &record) {
  if (!record.Registered) {
    if (record.Gone) {
      Agents.erase(record.Host);
      return;
    }
    MemberView &view = Agents[record.Host];
    view.Record = record;
    view.NameHash = stableHash(record.Host.str());
    view.Unconfirmed = false;
    return;
  }
  const auto known = Servers.find(record.Host);
  if (record.Gone) {
    // A new leader also lists departures of former processes.
    if (known != Servers.end() &&
        mayBeSameProcess(known->second.Record.process(), record.process()))
      Servers.erase(known);
    return;
  }
  const bool isNew =
      known == Servers.end() ||
      !mayBeSameProcess(known->second.Record.process(), record.process());
  ServerView &view = Servers[record.Host];
  // Observations of a former process don't apply to the new one.
  if (isNew)
    view = ServerView();
  view.Record = record;
  extendColdPeriod(view, now + record.ColdFor);
  view.Unconfirmed = false;
  if (isNew)
    removeOthersAtAddress(record);
}

/// A new process at an address implies that the former one there has exited.
void ServerSet::removeOthersAtAddress(const MemberRecord &record) {
  std::erase_if(Servers, [&](const auto &it) {
    return it.first != record.Host &&
           it.second.Record.Address == record.Address;
  });
}

void ServerSet::matchAgentsToServers() {
  // A host may run servers of several services; an agent belongs to one
  // service.
  std::map<std::pair<std::string, ServiceName>, const ServerView *>
      byAddressAndService;
  for (const auto &[host, it] : Servers)
    for (const ServiceName &service : it.Record.Services)
      if (isInUse(it))
        byAddressAndService[{ipOf(it.Record.Address), service}] = &it;
  ServerByAgent.clear();
  for (auto &[host, agent] : Agents) {
    const auto it = byAddressAndService.find(
        {ipOf(agent.Record.Address), ServiceName(agent.Record.BaseModel)});
    agent.Drained = it == byAddressAndService.end();
    if (agent.Drained)
      continue;
    ServerByAgent[host] = it->second->Record.Host;
    agent.Software = it->second->Record.Software;
    agent.BackoffUntil =
        feedbackOf(it->second->Record.process()).backoffUntil();
  }
}

ServerView *ServerSet::find(const HostName &server) {
  const auto it = Servers.find(server);
  return it == Servers.end() ? nullptr : &it->second;
}

ServerView *ServerSet::find(const ServerProcess &process) {
  ServerView *it = find(process.Name);
  return it && mayBeSameProcess(it->Record.process(), process) ? it : nullptr;
}

bool ServerSet::isReplaced(const ServerProcess &process,
                           const std::string &address) const {
  return std::ranges::any_of(Servers, [&](const auto &it) {
    const MemberRecord &record = it.second.Record;
    return (record.Host == process.Name || record.Address == address) &&
           !mayBeSameProcess(record.process(), process);
  });
}

ServerView *ServerSet::serverOfAgent(const HostName &agent) {
  const auto it = ServerByAgent.find(agent);
  return it == ServerByAgent.end() ? nullptr : find(it->second);
}

bool ServerSet::serves(const ServiceName &service,
                       const AllowedZones &zones) const {
  return std::ranges::any_of(Servers, [&](const auto &it) {
    return belongsTo(it.second.Record, service) && isInUse(it.second) &&
           zones.contains(it.second.Record.Zone);
  });
}

bool ServerSet::serves(const ServiceName &service, const AllowedZones &zones,
                       const std::string &software) const {
  return std::ranges::any_of(Servers, [&](const auto &it) {
    return belongsTo(it.second.Record, service) && isInUse(it.second) &&
           zones.contains(it.second.Record.Zone) &&
           it.second.Record.Software == software;
  });
}

std::map<ServiceName, std::set<std::string>>
ServerSet::softwareVersions() const {
  std::map<ServiceName, std::set<std::string>> result;
  for (const auto &[host, it] : Servers)
    for (const ServiceName &service : it.Record.Services)
      result[service].insert(it.Record.Software);
  return result;
}

bool ServerSet::hasOtherSoftware(const ServiceName &service,
                                 const std::string &software) const {
  return std::ranges::any_of(Servers, [&](const auto &it) {
    return belongsTo(it.second.Record, service) &&
           it.second.Record.Software != software;
  });
}

double ServerSet::meanFailureShare(const ServiceName &service) const {
  double sum = 0;
  std::size_t n = 0;
  for (const auto &[host, it] : Servers) {
    if (!belongsTo(it.Record, service))
      continue;
    sum += it.FailureShare;
    ++n;
  }
  return n == 0 ? 0 : sum / static_cast<double>(n);
}

Duration ServerSet::fastestPace(TimePoint now,
                                const ServiceName &service) const {
  Duration fastest = Duration::zero();
  for (const auto &[host, it] : Servers) {
    const Duration pace = it.Pace.expected(now, Options.Pace);
    if (belongsTo(it.Record, service) && isInUse(it) &&
        pace > Duration::zero() &&
        (fastest == Duration::zero() || pace < fastest))
      fastest = pace;
  }
  return fastest;
}

PlainRoom ServerSet::plainRoom(TimePoint now, const ServiceName &service,
                               const std::vector<ServerProcess> &excluded,
                               const AllowedZones &zones) const {
  std::vector<const ServerView *> open;
  for (const auto &[host, it] : Servers) {
    if (!isOpen(now, it, service, excluded, zones) || now < it.EjectedUntil)
      continue;
    if (isPaced(now, it))
      return {};
    open.push_back(&it);
  }
  PlainRoom room = plainRoomOf(now, Options, open);
  room.Reported = waitReportOf(now, Options, open);
  room.Entries = Entries.value();
  return room;
}

void ServerSet::useDocument(const RoutingDocument &document) {
  Services.clear();
  for (const ServiceSpec &it : document.Services)
    Services[it.Name] = it;
}

void ServerSet::setEvacuated(TimePoint now, std::set<ZoneName> zones) {
  const std::set<ZoneName> before = std::exchange(Evacuated, std::move(zones));
  for (auto &[host, it] : Servers) {
    const ZoneName &zone = it.Record.Zone;
    const ServiceSpec *spec = specOf(it);
    if (spec && before.contains(zone) && !isEvacuated(zone))
      extendColdPeriod(it, now + spec->ColdTime);
  }
  matchAgentsToServers();
}

const ServiceSpec *ServerSet::specOf(const ServerView &server) const {
  // A registered server belongs to one service.
  const auto &names = server.Record.Services;
  const auto it = names.empty() ? Services.end() : Services.find(names.front());
  return it == Services.end() ? nullptr : &it->second;
}

void ServerSet::extendColdPeriod(ServerView &server, TimePoint until) {
  server.ColdUntil = std::max(server.ColdUntil, until);
  LastColdUntil = std::max(LastColdUntil, until);
}

ColdStart ServerSet::coldStartOf(TimePoint now,
                                 const ServerView &server) const {
  const ServiceSpec *spec = specOf(server);
  if (!spec || now >= server.ColdUntil)
    return {};
  return spec->coldStartFor(server.ColdUntil - now);
}

ColdStart ServerSet::coldStartOf(TimePoint now,
                                 const ServerProcess &server) const {
  const auto it = Servers.find(server.Name);
  const bool known = it != Servers.end() &&
                     mayBeSameProcess(it->second.Record.process(), server);
  return known ? coldStartOf(now, it->second) : ColdStart();
}

bool ServerSet::isPaced(TimePoint now, const ServerView &server) const {
  return coldStartOf(now, server).isCold() ||
         feedbackOf(server.Record.process()).isLimited();
}

void ServerSet::onEntryCount(TimePoint now, std::uint32_t entries) {
  Entries.recordCount(now, entries);
}

ConnectionLimits ServerSet::connections(TimePoint now,
                                        const ServerView &server) const {
  const ServiceSpec *spec = specOf(server);
  const std::uint32_t cap = spec ? spec->MaxConnections : 0;
  return server.Connections.limitsFor(now, cap, Entries.value(),
                                      Options.Connections);
}

void ServerSet::recordRejection(TimePoint now, const ServerProcess &server) {
  if (ServerView *it = find(server))
    it->Connections.recordRejection(now, Options.Connections);
}

bool ServerSet::isLeaving(const ServerView &server) const {
  // Announced by the registration or by an answer, whichever came first.
  return server.Record.Leaving ||
         feedbackOf(server.Record.process()).isLeaving();
}

bool ServerSet::isOpen(TimePoint now, const ServerView &server,
                       const ServiceName &service,
                       const std::vector<ServerProcess> &excluded,
                       const AllowedZones &zones) const {
  return belongsTo(server.Record, service) && isInUse(server) &&
         zones.contains(server.Record.Zone) &&
         !feedbackOf(server.Record.process()).isBackingOff(now) &&
         std::ranges::find(excluded, server.Record.process()) ==
             excluded.end() &&
         server.InFlight < connections(now, server).MaxOpen;
}

std::vector<ServerProcess>
ServerSet::pacedServers(TimePoint now, const ServiceName &service,
                        const std::vector<ServerProcess> &excluded,
                        const AllowedZones &zones) const {
  std::vector<ServerProcess> result;
  // Fast path: usually no server has sent feedback and none is cold.
  if (Feedback.empty() && now >= LastColdUntil)
    return result;
  for (const auto &[host, it] : Servers)
    if (isPaced(now, it) && isOpen(now, it, service, excluded, zones))
      result.push_back(it.Record.process());
  return result;
}

ServerView *ServerSet::choose(TimePoint now, const ServiceName &service,
                              const std::vector<ServerProcess> &excluded,
                              const SendPermits &permits,
                              const AllowedZones &zones, bool canRetry) {
  const ScoreContext context{.MeanFailures = meanFailureShare(service),
                             .FastestPace = fastestPace(now, service),
                             .CanRetry = canRetry};
  ServerView *best = nullptr;
  std::pair<bool, double> bestRank;
  for (auto &[host, it] : Servers) {
    if (!isOpen(now, it, service, excluded, zones))
      continue;
    if (isPaced(now, it) && !permits.has(now, it.Record.process()))
      continue;
    const std::pair<bool, double> rank{now < it.EjectedUntil,
                                       scoreOf(now, Options, it, context)};
    if (best && rank >= bestRank)
      continue;
    best = &it;
    bestRank = rank;
  }
  return best;
}

void ServerSet::recordSent(const ServerProcess &server) {
  ServerView *it = find(server);
  if (!it)
    return;
  ++it->InFlight;
  ++it->SentSinceReport;
}

void ServerSet::recordAnswerTime(TimePoint now, const ServerProcess &server,
                                 Duration took) {
  ServerView *it = find(server);
  if (!it)
    return;
  // About as many requests waited before this one as wait behind it now.
  const double slots = std::max(it->Record.Slots, 1U);
  const double waiting =
      hasLoadReport(now, Options, *it) ? it->Load.Waiting : 0;
  it->Pace.recordAnswer(
      now, fromSeconds(toSeconds(took) * slots / (slots + waiting)),
      Options.Pace);
}

void ServerSet::recordOutcome(TimePoint now, const ServerProcess &server,
                              ServerOutcome outcome) {
  ServerView *it = find(server);
  if (!it)
    return;
  it->InFlight -= std::min(it->InFlight, 1U);
  if (outcome == ServerOutcome::Declined)
    return;
  const bool failed = outcome != ServerOutcome::Answered;
  it->FailureShare += Options.FailureWeight * (failed - it->FailureShare);
  if (outcome == ServerOutcome::Unreachable) {
    it->EjectedUntil = now + backoffDelay(Options.EjectionTime, it->Failures);
    ++it->Failures;
  } else {
    it->Failures = 0;
    it->UnexplainedDeclines = 0;
  }
  if (failed)
    ejectIfFailing(now, *it);
}

void ServerSet::recordDecline(TimePoint now, const ServerProcess &server) {
  ServerView *it = find(server);
  if (!it)
    return;
  if (reportedRoom(now, server) == ReportedRoom::Full) {
    it->LoadAtFullDecline = it->Load.Running + it->Load.Waiting;
    it->LastFullDeclineAt = now;
    return;
  }
  ++it->UnexplainedDeclines;
  it->LastDeclineAt = now;
  if (it->UnexplainedDeclines < Options.EjectDeclines)
    return;
  // Longer ejections would keep a recovered engine idle.
  constexpr std::uint32_t MaxFactor = 4;
  const std::uint32_t factor =
      backoffFactor(it->UnexplainedDeclines - Options.EjectDeclines);
  ejectEngine(now, *it,
              Options.OutlierEjectionTime * std::min(factor, MaxFactor));
}

bool ServerSet::ejectEngine(TimePoint now, const ServerView &server,
                            Duration time) {
  const auto agent = std::ranges::find_if(ServerByAgent, [&](const auto &it) {
    return it.second == server.Record.Host;
  });
  if (agent == ServerByAgent.end())
    return false;
  const auto ejectedCount = std::ranges::count_if(
      Agents, [&](const auto &it) { return it.second.EjectedUntil > now; });
  if (static_cast<double>(ejectedCount) >=
      Options.MaxEjectedShare * static_cast<double>(Agents.size()))
    return false;
  Agents[agent->first].EjectedUntil = now + time;
  return true;
}

void ServerSet::ejectIfFailing(TimePoint now, ServerView &server) {
  if (server.Record.Services.empty())
    return;
  const double mean = meanFailureShare(server.Record.Services.front());
  if (server.FailureShare < mean + Options.EjectThreshold)
    return;
  // Otherwise its first failure after the ejection would eject it again.
  if (ejectEngine(now, server, Options.OutlierEjectionTime))
    server.FailureShare = mean;
}

void ServerSet::recordLoad(TimePoint now, const ServerProcess &server,
                           const ServerLoad &load) {
  if (ServerView *it = find(server)) {
    it->Load = load;
    it->LoadReportedAt = now;
    it->SentSinceReport = 0;
    it->Pace.recordStatement(now, load.Slowness);
  }
}

ReportedRoom ServerSet::reportedRoom(TimePoint now,
                                     const ServerProcess &server) const {
  const auto it = Servers.find(server.Name);
  if (it == Servers.end() ||
      !mayBeSameProcess(it->second.Record.process(), server) ||
      !hasLoadReport(now, Options, it->second))
    return ReportedRoom::Unknown;
  const ServerLoad &load = it->second.Load;
  const bool hasFreeSlots =
      load.Waiting == 0 && load.Running < it->second.Record.Slots;
  return hasFreeSlots ? ReportedRoom::FreeSlots : ReportedRoom::Full;
}

ServerFeedback *ServerSet::findOrAddFeedback(const ServerProcess &server) {
  constexpr std::size_t MaxFeedbackEntries = 4096;
  // Late feedback of a former process doesn't apply to the registered one.
  const auto registered = Servers.find(server.Name);
  if (registered != Servers.end() &&
      !mayBeSameProcess(registered->second.Record.process(), server))
    return nullptr;
  if (Feedback.size() >= MaxFeedbackEntries)
    std::erase_if(Feedback, [&](const auto &it) {
      return it.first != server.Name && !find(it.second.Process);
    });
  FeedbackEntry &it = Feedback[server.Name];
  if (!mayBeSameProcess(it.Process, server))
    it = {.Process = server};
  return &it.Feedback;
}

std::string ServerSet::recordFeedback(TimePoint now,
                                      const ServerProcess &server,
                                      const AnswerFeedback &feedback,
                                      TimePoint sentAt) {
  if (feedback == AnswerFeedback() && !Feedback.contains(server.Name))
    return {};
  if (ServerView *view = find(server); view && feedback.ColdFor)
    extendColdPeriod(*view, now + *feedback.ColdFor);
  ServerFeedback *it = findOrAddFeedback(server);
  if (!it)
    return {};
  const bool wasLeaving = it->isLeaving();
  std::string changes = it->apply(now, feedback, sentAt);
  if (it->isLeaving() != wasLeaving)
    matchAgentsToServers();
  if (feedback.Backoff)
    updateAgentBackoff(server);
  return changes;
}

void ServerSet::updateAgentBackoff(const ServerProcess &server) {
  const TimePoint until = feedbackOf(server).backoffUntil();
  for (const auto &[agent, host] : ServerByAgent)
    if (host == server.Name)
      Agents.at(agent).BackoffUntil = until;
}

FeedbackCounts ServerSet::countFeedback(TimePoint now) const {
  FeedbackCounts counts;
  for (const auto &[host, it] : Servers) {
    const ServerFeedback feedback = feedbackOf(it.Record.process());
    counts.Limited += feedback.isLimited() ? 1 : 0;
    counts.BackingOff += feedback.isBackingOff(now) ? 1 : 0;
    counts.Leaving += feedback.isLeaving() ? 1 : 0;
    counts.Cold += coldStartOf(now, it).isCold() ? 1 : 0;
  }
  return counts;
}

ServiceServers ServerSet::countServers(TimePoint now,
                                       const ServiceName &service) const {
  ServiceServers counts;
  for (const auto &[host, it] : Servers) {
    if (!belongsTo(it.Record, service))
      continue;
    const ServerProcess process = it.Record.process();
    ++counts.Registered;
    if (!isInUse(it)) {
      ++counts.Leaving;
    } else if (feedbackOf(process).isBackingOff(now)) {
      ++counts.BackingOff;
    } else if (it.InFlight >= connections(now, it).MaxOpen) {
      ++counts.AtConnectionLimit;
    } else {
      ++counts.Open;
      counts.Ejected += now < it.EjectedUntil ? 1 : 0;
      counts.Full += reportedRoom(now, process) == ReportedRoom::Full ? 1 : 0;
    }
  }
  return counts;
}

std::string describe(const ServiceServers &servers) {
  return "servers registered " + std::to_string(servers.Registered) +
         ", open " + std::to_string(servers.Open) + ", of these full " +
         std::to_string(servers.Full) + " and ejected " +
         std::to_string(servers.Ejected) + "; leaving " +
         std::to_string(servers.Leaving) + ", backing off " +
         std::to_string(servers.BackingOff) + ", at their connection limit " +
         std::to_string(servers.AtConnectionLimit);
}

std::optional<TimePoint>
ServerSet::earliestBackoffEnd(TimePoint now, const ServiceName &service,
                              const AllowedZones &zones) const {
  std::optional<TimePoint> first;
  for (const auto &[host, it] : Servers) {
    if (!belongsTo(it.Record, service) || !isInUse(it) ||
        !zones.contains(it.Record.Zone))
      continue;
    const TimePoint until = feedbackOf(it.Record.process()).backoffUntil();
    if (until <= now)
      return std::nullopt;
    first = std::min(first.value_or(until), until);
  }
  return first;
}

std::string ServerSet::recordLimit(TimePoint now, const ServerProcess &server,
                                   const RateLimit &limit) {
  if (!limit.Named)
    return {};
  ServerFeedback *it = findOrAddFeedback(server);
  return it ? it->applyLimit(now, limit) : std::string();
}

ServerFeedback ServerSet::feedbackOf(const ServerProcess &server) const {
  const auto it = Feedback.find(server.Name);
  const bool known =
      it != Feedback.end() && mayBeSameProcess(it->second.Process, server);
  return known ? it->second.Feedback : ServerFeedback();
}

void ServerSet::recordProcessExit(TimePoint now, const ServerProcess &server) {
  ServerView *view = find(server);
  if (!view)
    return;
  view->EjectedUntil = now + backoffDelay(Options.EjectionTime, view->Failures);
  for (const auto &[agent, host] : ServerByAgent)
    if (host == server.Name)
      ejectAgent(now, agent);
}

void ServerSet::ejectAgent(TimePoint now, const HostName &agent) {
  const auto it = Agents.find(agent);
  if (it == Agents.end())
    return;
  it->second.EjectedUntil =
      now + backoffDelay(Options.EjectionTime, it->second.Failures);
  ++it->second.Failures;
}

} // namespace pimentofront
