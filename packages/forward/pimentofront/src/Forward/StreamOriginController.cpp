#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// Agents in the rendezvous order that are told of a stream, beside the one at
/// its server: one of them may be lost together with the entry.
constexpr std::size_t ToldAgents = 2;
/// Agents in that order that are asked: agents that have joined or left since
/// the stream began shift the order.
constexpr std::size_t AskedAgents = 16;
/// Longest wait for their answers. Covers a new link between zones; the caller
/// hears of a refusal in time to come back.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(250);
/// The same while this entry knows one version only, and goes on with it if no
/// agent names another one.
constexpr Duration ShortAnswerTimeout = std::chrono::milliseconds(100);
/// How long a caller may come back after the time that it stated.
constexpr Duration LifetimeSlack = std::chrono::seconds(1);
/// A service counts as mixed for this long after the servers of all versions
/// but one have gone: callers may come back long after their streams broke off.
constexpr Duration MixedMemory = std::chrono::minutes(10);

/// \returns the id of the caller's attempt that began the request's stream;
/// empty if the request doesn't name it.
RequestId streamOf(const ForwardRequest &request) {
  const RequestTraits &traits = request.Traits;
  return RequestId(traits.LastEventId ? traits.Resumes : traits.Id);
}

/// \returns the inputs of a decision on a stream's software version, for the
/// log.
std::string describeQuery(const std::optional<OriginQuery> &query,
                          const std::set<std::string> &registered,
                          const SoftwareRecord *record, bool mixed,
                          bool complete) {
  std::string result = ", versions registered ";
  for (const std::string &it : registered)
    result += softwareName(it) + " ";
  result += "recorded ";
  for (const std::string &it :
       record ? record->Versions : std::vector<std::string>())
    result += softwareName(it) + " ";
  result += std::string("mixed ") + (mixed ? "yes" : "no") +
            ", list of servers " + (complete ? "complete" : "incomplete");
  if (query)
    result += ", agents asked " + std::to_string(query->AskedCount) +
              ", replicas asked " + std::to_string(query->AskedReplicaCount) +
              (query->KnownBy.empty() ? "" : ", told by " + query->KnownBy);
  return result;
}

Duration lifetimeOf(TimePoint now, const ForwardRequest &request) {
  const Duration stated =
      request.Traits.TimeLeft.value_or(request.Route->Timeout);
  return request.ArrivedAt + stated + LifetimeSlack - now;
}

/// \returns the origin of the request's stream under each id by which its
/// caller may resume it: the attempt that began it, and the one that resumed
/// it.
/// \pre request.RequiredSoftware
std::vector<StreamOrigin> originsOf(TimePoint now,
                                    const ForwardRequest &request) {
  std::set<RequestId> streams{streamOf(request), RequestId(request.Traits.Id)};
  streams.erase(RequestId());
  std::vector<StreamOrigin> result;
  result.reserve(streams.size());
  for (const RequestId &it : streams)
    result.push_back({.Stream = it,
                      .Software = *request.RequiredSoftware,
                      .Lifetime = lifetimeOf(now, request)});
  return result;
}

} // namespace

const char *originSourceName(OriginSource source) {
  constexpr const char *Names[] = {"entry", "agent", "replica", "only_version",
                                   "nobody"};
  return Names[static_cast<std::size_t>(source)];
}

bool StreamOriginController::isMixed(TimePoint now,
                                     const ServiceName &service) const {
  if (hasSeenMixed(now, service))
    return true;
  const SoftwareRecord *record = Board.Configuration.findSoftware(service);
  if (!record || record->Versions.empty())
    return false;
  return record->Versions.size() > 1 ||
         Board.Servers.hasOtherSoftware(service, record->Versions.front());
}

bool StreamOriginController::hasSeenMixed(TimePoint now,
                                          const ServiceName &service) const {
  const auto it = Board.MixedUntil.find(service);
  return it != Board.MixedUntil.end() &&
         (!it->second || now < *it->second + MixedMemory);
}

bool StreamOriginController::isAnyMixed(TimePoint now) const {
  const auto isRecordedMixed = [&](const ServiceSpec &it) {
    const SoftwareRecord *record = Board.Configuration.findSoftware(it.Name);
    return record && record->Versions.size() > 1;
  };
  return std::ranges::any_of(
             Board.MixedUntil,
             [&](const auto &it) { return hasSeenMixed(now, it.first); }) ||
         (Board.Table && std::ranges::any_of(Board.Table->document().Services,
                                             isRecordedMixed));
}

void StreamOriginController::onServersChanged(TimePoint now) {
  const auto versions = Board.Servers.softwareVersions();
  const auto isMixedNow = [&](const ServiceName &service) {
    const auto it = versions.find(service);
    return it != versions.end() && it->second.size() > 1;
  };
  for (auto &[service, until] : Board.MixedUntil)
    if (!until && !isMixedNow(service))
      until = now;
  std::set<ServiceName> appeared;
  for (const auto &[service, all] : versions) {
    if (!isMixedNow(service))
      continue;
    if (!hasSeenMixed(now, service))
      appeared.insert(service);
    Board.MixedUntil[service] = std::nullopt;
  }
  for (const auto &[key, it] : Board.Requests)
    if (it.Answering && it.RequiredSoftware && appeared.contains(it.Service))
      publish(now, it);
  if (!appeared.empty())
    Board.OriginsToKeep = Board.Origins.all(now);
}

OriginDecision StreamOriginController::decide(TimePoint now,
                                              ForwardRequest &request) {
  if (!request.resumesStream() || request.RequiredSoftware)
    return OriginDecision::Decided;
  const auto all = Board.Servers.softwareVersions();
  const auto versions = all.find(request.Service);
  if (versions == all.end())
    return OriginDecision::NoServer;
  const bool stated = versions->second != std::set<std::string>{""};
  if (!stated && !isMixed(now, request.Service))
    return OriginDecision::Decided;
  request.RequiredSoftware = Board.Origins.find(now, streamOf(request));
  if (request.RequiredSoftware) {
    const auto by =
        request.Origin ? request.Origin->KnownBySource : std::nullopt;
    recordDecision(now, request, versions->second,
                   by.value_or(OriginSource::Entry));
    return OriginDecision::Decided;
  }
  if (!request.Origin)
    ask(now, request);
  if (!request.Origin->isOver())
    return OriginDecision::Asked;
  if (isMixed(now, request.Service) || !Board.Servers.wasComplete()) {
    recordDecision(now, request, versions->second, OriginSource::Nobody);
    return OriginDecision::Unknown;
  }
  // An entry that is cut off may have missed a version.
  if (!Board.Configuration.confirmationAge(now) ||
      !Board.Configuration.isConfirmed(now))
    return OriginDecision::AwaitsRecord;
  request.RequiredSoftware = *versions->second.begin();
  recordDecision(now, request, versions->second, OriginSource::OnlyVersion);
  return OriginDecision::Decided;
}

void StreamOriginController::recordDecision(
    TimePoint now, const ForwardRequest &request,
    const std::set<std::string> &registered, OriginSource source) {
  const std::string version =
      request.RequiredSoftware ? softwareName(*request.RequiredSoftware) : "";
  Board.Events.push_back(
      {.Name = "stream_origin",
       .Request = request.Traits.Id,
       .Route = request.Route->Name,
       .Service = request.Service,
       .Content = request.Content,
       .Detail =
           "stream of attempt " + streamOf(request).str() +
           ", server software " + version + ", known by " +
           originSourceName(source) +
           describeQuery(request.Origin, registered,
                         Board.Configuration.findSoftware(request.Service),
                         isMixed(now, request.Service),
                         Board.Servers.wasComplete()),
       .Took = now - request.ArrivedAt,
       .Origin = source});
}

void StreamOriginController::ask(TimePoint now, ForwardRequest &request) {
  const bool mixed = isMixed(now, request.Service);
  request.Origin =
      OriginQuery{.Until = now + (mixed ? AnswerTimeout : ShortAnswerTimeout)};
  const RequestId stream = streamOf(request);
  if (stream.empty())
    return;
  for (const MemberView *it : holders(request, stream, AskedAgents)) {
    request.Origin->Asked.insert(it->Record.Host);
    send(*it, StreamOriginQuery{stream});
  }
  request.Origin->AskedCount = request.Origin->Asked.size();
  request.Origin->AskedReplicas.insert(Board.OriginKeepers.begin(),
                                       Board.OriginKeepers.end());
  request.Origin->AskedReplicaCount = Board.OriginKeepers.size();
  Board.OriginsToAsk.push_back(stream);
  if (!request.Origin->isOver())
    Board.OriginQueries.insert(request.Key);
}

void StreamOriginController::recordFirstEvent(TimePoint now,
                                              ForwardRequest &request) {
  if (request.Route->Kind != Repeatability::Stream ||
      !request.Route->Resumable || request.Attempt->Software.empty())
    return;
  request.RequiredSoftware = request.Attempt->Software;
  const bool mixed = isMixed(now, request.Service);
  for (const StreamOrigin &it : originsOf(now, request)) {
    Board.Origins.record(now, it);
    if (mixed)
      Board.OriginsToKeep.push_back(it);
  }
  // A second version may appear after this entry has been lost.
  publish(now, request);
}

void StreamOriginController::publish(TimePoint now,
                                     const ForwardRequest &request) {
  for (const StreamOrigin &it : originsOf(now, request))
    publish(request, it);
}

void StreamOriginController::publish(const ForwardRequest &request,
                                     const StreamOrigin &origin) {
  const StreamOrigins message{{origin}};
  const auto &agents = Board.Servers.agents();
  const auto beside =
      request.Attempt ? agents.find(request.Attempt->Agent) : agents.end();
  if (beside != agents.end() && beside->second.Record.RemembersStreams)
    send(beside->second, message);
  std::size_t told = 0;
  for (const MemberView *it : holders(request, origin.Stream, AskedAgents)) {
    if (told == ToldAgents)
      return;
    if (it->Record.Leaving || (beside != agents.end() && it == &beside->second))
      continue;
    send(*it, message);
    ++told;
  }
}

std::vector<const MemberView *>
StreamOriginController::holders(const ForwardRequest &request,
                                const RequestId &stream, std::size_t n) const {
  std::vector<const MemberView *> result;
  for (const auto &[host, it] : Board.Servers.agents())
    if (it.Record.RemembersStreams)
      result.push_back(&it);
  // Versions of the adapter may change while the stream lasts.
  const AdapterKey key{request.Adapter.Adapter.empty()
                           ? AdapterName(stream.str())
                           : request.Adapter.Adapter,
                       0};
  detail::orderByRendezvous(key, n, result);
  result.resize(std::min(n, result.size()));
  return result;
}

void StreamOriginController::send(const MemberView &agent, Message message) {
  Board.Commands.push_back(
      SendToAgent{agent.Record.Host, agent.Record.Address, std::move(message)});
}

std::vector<std::uint64_t>
StreamOriginController::onReply(TimePoint now, const HostName &agent,
                                const StreamOriginReply &reply) {
  return onReply(now, OriginSource::Agent, agent.str(), reply);
}

std::vector<std::uint64_t> StreamOriginController::onReplicaReply(
    TimePoint now, const std::string &address, const StreamOriginReply &reply) {
  return onReply(now, OriginSource::Replica, address, reply);
}

std::vector<std::uint64_t>
StreamOriginController::onAgentLost(const HostName &agent) {
  return onLost(OriginSource::Agent, agent.str());
}

std::vector<std::uint64_t>
StreamOriginController::onReplicaLost(const std::string &address) {
  return onLost(OriginSource::Replica, address);
}

std::vector<std::uint64_t>
StreamOriginController::onReply(TimePoint now, OriginSource source,
                                const std::string &name,
                                const StreamOriginReply &reply) {
  std::vector<std::uint64_t> decided;
  for (const std::uint64_t key : Board.OriginQueries) {
    ForwardRequest &request = Board.Requests.at(key);
    if (streamOf(request) != reply.Stream)
      continue;
    OriginQuery &query = *request.Origin;
    if (reply.Known) {
      query.KnownBy = name;
      query.KnownBySource = source;
      Board.Origins.record(now, {.Stream = reply.Stream,
                                 .Software = reply.Software,
                                 .Lifetime = lifetimeOf(now, request)});
    }
    if (reply.Known || removeAsked(query, source, name))
      decided.push_back(key);
  }
  for (const std::uint64_t it : decided)
    Board.OriginQueries.erase(it);
  return decided;
}

std::vector<std::uint64_t>
StreamOriginController::onLost(OriginSource source, const std::string &name) {
  std::vector<std::uint64_t> decided;
  for (const std::uint64_t key : Board.OriginQueries)
    if (removeAsked(*Board.Requests.at(key).Origin, source, name))
      decided.push_back(key);
  for (const std::uint64_t it : decided)
    Board.OriginQueries.erase(it);
  return decided;
}

bool StreamOriginController::removeAsked(OriginQuery &query,
                                         OriginSource source,
                                         const std::string &name) {
  const std::size_t removed = source == OriginSource::Agent
                                  ? query.Asked.erase(HostName(name))
                                  : query.AskedReplicas.erase(name);
  return removed > 0 && query.isOver();
}

std::vector<std::uint64_t> StreamOriginController::takeOverdue(TimePoint now) {
  Board.Origins.expire(now);
  std::vector<std::uint64_t> overdue;
  for (const std::uint64_t key : Board.OriginQueries) {
    OriginQuery &query = *Board.Requests.at(key).Origin;
    if (now < query.Until)
      continue;
    query.Asked.clear();
    query.AskedReplicas.clear();
    overdue.push_back(key);
  }
  for (const std::uint64_t it : overdue)
    Board.OriginQueries.erase(it);
  return overdue;
}

} // namespace pimentofront
