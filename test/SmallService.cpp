#include "SmallService.h"

#include <cmath>

namespace pimentofront::testing {
namespace {

constexpr Duration Latency = 1ms;
constexpr Duration TickInterval = 5ms;
constexpr int Unavailable = 503;
/// Of ten requests on first routes, how many are on "once".
constexpr double OnceShare = 0.7;

std::string keyOf(const std::string &account) { return "key-" + account; }

} // namespace

std::string CallerCounts::text() const {
  return "asked " + std::to_string(Asked) + ", in time " +
         std::to_string(InTime) + ", late " + std::to_string(Late) +
         ", refused " + std::to_string(Refused) + ", failed " +
         std::to_string(Failed);
}

SmallService::SmallService(const SmallServiceOptions &options)
    : Options(options), Rng(options.Seed) {
  Entries.resize(Options.Entries);
  for (std::size_t i = 0; i < Options.Servers; ++i) {
    const std::string name = "p" + std::to_string(++LastServer);
    Servers[HostName(name)].Record = server(
        name.c_str(), "plain", ("1.0.0." + std::to_string(i) + ":80").c_str());
    Servers[HostName(name)].Record.Slots = Options.Slots;
  }
  for (std::size_t i = 0; i < Options.Entries; ++i) {
    // The entry with the most callers has three times those of the least one.
    constexpr double Range = 2;
    Entries[i].Weight = 1 + Range * static_cast<double>(i) /
                                static_cast<double>(Options.Entries);
    start(i);
  }
}

std::shared_ptr<const RoutingTable> SmallService::table() const {
  const auto spec = [&](const char *name, Repeatability kind,
                        std::uint32_t servers) {
    RouteSpec it = route(name, kind, "plain", servers);
    it.Timeout = Options.Timeout;
    it.LatencyTarget = Options.Target;
    return it;
  };
  RoutingDocument document{
      .Routes = {spec("once", Repeatability::NonIdempotent, 1),
                 spec("safe", Repeatability::Idempotent, 2)},
      .Services = {{.Name = ServiceName("plain"), .MaxConnections = 190}}};
  for (const auto &[name, share] : Options.Accounts)
    document.Accounts.push_back(
        {.Name = AccountName(name), .Keys = {KeyDigest::of(keyOf(name))}});
  const RoutingTable first(1, document);
  document.Routes.push_back(spec("added", Repeatability::Idempotent, 2));
  return std::make_shared<const RoutingTable>(2, std::move(document), &first);
}

void SmallService::start(std::size_t i) {
  Entry &it = Entries[i];
  ++it.Generation;
  ForwardOptions options = Options.Forward;
  options.Incarnation = i * 1000 + it.Generation;
  options.Servers.Zone = ZoneName("z");
  it.Controller = std::make_unique<ForwardController>(options, Configuration,
                                                      Headers, Routing);
  it.Controller->setTable(table());
  it.Controller->onEntryCount(Time,
                              static_cast<std::uint32_t>(Options.Entries));
  MemberUpdate members{.Full = true, .Complete = true};
  for (const auto &[name, known] : Servers)
    members.Members.push_back(known.Record);
  it.Controller->onMembers(Time, members);
}

void SmallService::restartEntry(std::size_t i) {
  Entry &it = Entries[i];
  for (const auto &[key, call] : it.Calls)
    count(call, &CallerCounts::Failed);
  it.Calls.clear();
  for (const auto &[attempt, job] : it.Jobs)
    job->Cancelled = true;
  it.Jobs.clear();
  start(i);
}

void SmallService::announce() {
  MemberUpdate members{.Full = true, .Complete = true};
  for (const auto &[name, it] : Servers)
    members.Members.push_back(it.Record);
  for (std::size_t i = 0; i < Entries.size(); ++i) {
    Entries[i].Controller->onMembers(Time, members);
    onCommands(i);
  }
}

void SmallService::removeServer(std::size_t i) {
  auto it = Servers.begin();
  std::advance(it, static_cast<std::ptrdiff_t>(i));
  it->second.Record.Leaving = true;
  announce();
  constexpr Duration LingerTime = 2s;
  at(Time + LingerTime, [this, name = it->first] {
    Servers.erase(name);
    announce();
  });
}

void SmallService::addServer() {
  const std::string name = "p" + std::to_string(++LastServer);
  Server &it = Servers[HostName(name)];
  it.Record = server(name.c_str(), "plain",
                     ("1.0.1." + std::to_string(LastServer) + ":80").c_str());
  it.Record.Slots = Options.Slots;
  announce();
}

void SmallService::resetCounts() {
  Routes.clear();
  ByAccount.clear();
  ByEntry.clear();
  Arrivals = 0;
  Declines = 0;
  RefusalsWithoutReturn = 0;
}

CallerCounts SmallService::first() const {
  CallerCounts sum;
  for (const char *name : {"once", "safe"}) {
    const CallerCounts it = onRoute(name);
    sum.Asked += it.Asked;
    sum.InTime += it.InTime;
    sum.Late += it.Late;
    sum.Refused += it.Refused;
    sum.Failed += it.Failed;
  }
  return sum;
}

double SmallService::capacity(Duration time) const {
  const auto open = std::ranges::count_if(
      Servers, [](const auto &it) { return !it.second.Record.Leaving; });
  return static_cast<double>(open) * Options.Slots * toSeconds(time) /
         toSeconds(Options.Work);
}

Duration SmallService::workTime() {
  // The standard deviation is half of the mean.
  constexpr double Spread = 0.5;
  const double variance = std::log(1 + Spread * Spread);
  std::lognormal_distribution<double> work(
      std::log(toSeconds(Options.Work)) - variance / 2, std::sqrt(variance));
  return fromSeconds(work(Rng));
}

double SmallService::uniform() {
  return std::uniform_real_distribution<double>()(Rng);
}

std::size_t SmallService::pickEntry(bool byWeight) {
  std::vector<double> weights(Entries.size(), 1);
  if (byWeight)
    std::ranges::transform(Entries, weights.begin(), &Entry::Weight);
  return std::discrete_distribution<std::size_t>(weights.begin(),
                                                 weights.end())(Rng);
}

void SmallService::run(Duration time, double perSecond, double addedPerSecond) {
  const TimePoint end = Time + time;
  const std::function<void()> tick = [&] {
    for (std::size_t i = 0; i < Entries.size(); ++i) {
      Entries[i].Controller->tick(Time);
      onCommands(i);
    }
    if (Time + TickInterval < end)
      at(Time + TickInterval, tick);
  };
  at(Time, tick);
  const auto schedule = [&](double rate, bool added) {
    if (rate <= 0)
      return;
    std::exponential_distribution<double> gap(rate);
    for (TimePoint it = Time;;) {
      it += fromSeconds(gap(Rng));
      if (it >= end)
        return;
      const char *first = uniform() < OnceShare ? "once" : "safe";
      at(it, [this, added, first] { arrive(added ? "added" : first, !added); });
    }
  };
  schedule(perSecond, false);
  schedule(addedPerSecond, true);
  while (!Events.empty() && Events.begin()->first < end) {
    const auto node = Events.extract(Events.begin());
    Time = node.key();
    node.mapped()();
  }
  Time = end;
}

std::string SmallService::pickAccount() {
  if (Options.Accounts.empty())
    return {};
  double draw = uniform();
  for (const auto &[name, share] : Options.Accounts)
    if ((draw -= share) < 0)
      return name;
  return Options.Accounts.rbegin()->first;
}

void SmallService::arrive(const std::string &route, bool byWeight) {
  const std::size_t i = pickEntry(byWeight);
  const std::string account = pickAccount();
  ++Routes[route].Asked;
  ++ByEntry[i].Asked;
  ++ByAccount[account].Asked;
  call(i, {.Route = route,
           .Account = account,
           .FirstEntry = i,
           .SentAt = Time,
           .ReturnsLeft = byWeight ? Options.Returns : Options.AddedReturns});
}

void SmallService::call(std::size_t i, Call call) {
  Entry &it = Entries[i];
  const std::uint64_t key = ++LastKey;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.SentAt + Options.Timeout - Time);
  RequestHead head{"POST",
                   "/" + call.Route + "/q",
                   {{"Host", "h"},
                    {"id", "r" + std::to_string(key)},
                    {"time", std::to_string(left.count())}}};
  if (!call.Account.empty())
    head.Headers.push_back({"key", keyOf(call.Account)});
  it.Calls.emplace(key, std::move(call));
  it.Controller->onRequest(Time, key, std::move(head), "body", NoBody);
  onCommands(i);
}

void SmallService::onCommands(std::size_t i) {
  Entry &it = Entries[i];
  it.Controller->takeEvents();
  for (ForwardCommand &command : it.Controller->takeCommands()) {
    if (const auto *send = std::get_if<SendUpstream>(&command))
      onSend(i, *send);
    else if (const auto *reply = std::get_if<ReplyComplete>(&command))
      onReply(i, *reply);
    else if (const auto *cancel = std::get_if<CancelUpstream>(&command))
      if (const auto job = it.Jobs.extract(cancel->Attempt))
        job.mapped()->Cancelled = true;
  }
}

void SmallService::onSend(std::size_t i, const SendUpstream &send) {
  const auto job =
      std::make_shared<Job>(Job{.Entry = i,
                                .Generation = Entries[i].Generation,
                                .Attempt = send.Attempt,
                                .Id = *findHeader(send.Head.Headers, "id")});
  Entries[i].Jobs.emplace(send.Attempt, job);
  at(Time + Latency,
     [this, name = send.Server.Name, job] { reachServer(name, job); });
}

void SmallService::reachServer(const HostName &name,
                               const std::shared_ptr<Job> &job) {
  const auto it = Servers.find(name);
  if (it == Servers.end())
    return at(Time + Latency, [this, job] {
      Entry &entry = Entries[job->Entry];
      if (job->Cancelled || entry.Generation != job->Generation)
        return;
      entry.Jobs.erase(job->Attempt);
      entry.Controller->answers().onEnd(Time, job->Attempt, NotSent);
      onCommands(job->Entry);
    });
  ++Arrivals;
  Server &server = it->second;
  if (server.Queue.size() >= Options.QueueLength) {
    ++Declines;
    return answer(server, *job, Unavailable, {{"not-run", "1"}});
  }
  server.Queue.push_back(job);
  startNext(server);
}

void SmallService::startNext(Server &server) {
  std::erase_if(server.Queue, [](const auto &it) { return it->Cancelled; });
  while (server.Running < Options.Slots && !server.Queue.empty()) {
    const std::shared_ptr<Job> job = server.Queue.front();
    server.Queue.pop_front();
    ++server.Running;
    at(Time + workTime(), [this, name = server.Record.Host, job] {
      const auto it = Servers.find(name);
      if (it == Servers.end())
        return;
      --it->second.Running;
      startNext(it->second);
      answer(it->second, *job, 200, {{"stamp", "s"}});
    });
  }
}

void SmallService::answer(const Server &server, const Job &job, int status,
                          HttpHeaders headers) {
  headers.push_back({"id", job.Id});
  headers.push_back({"load", std::to_string(server.Running) + "," +
                                 std::to_string(server.Queue.size())});
  at(Time + Latency, [this, job, status, headers] {
    Entry &entry = Entries[job.Entry];
    if (entry.Generation != job.Generation || !entry.Jobs.erase(job.Attempt))
      return;
    entry.Controller->answers().onHead(Time, job.Attempt, {status, headers});
    if (status != Unavailable)
      entry.Controller->answers().onEnd(Time, job.Attempt, Completed);
    onCommands(job.Entry);
  });
}

void SmallService::count(const Call &call, int CallerCounts::*outcome) {
  ++(Routes[call.Route].*outcome);
  ++(ByEntry[call.FirstEntry].*outcome);
  ++(ByAccount[call.Account].*outcome);
}

void SmallService::onReply(std::size_t i, const ReplyComplete &reply) {
  const auto node = Entries[i].Calls.extract(reply.Key);
  if (!node)
    return;
  Call call = node.mapped();
  if (reply.Head.Status == 200)
    return count(call, Time - call.SentAt <= Options.Target
                           ? &CallerCounts::InTime
                           : &CallerCounts::Late);
  if (reply.Head.Status != Unavailable)
    return count(call, &CallerCounts::Failed);
  const std::string *back = findHeader(reply.Head.Headers, "come-back");
  RefusalsWithoutReturn += back ? 0 : 1;
  const Duration wait(back ? std::stoll(*back) : 0);
  const TimePoint deadline = call.SentAt + Options.Timeout;
  if (call.ReturnsLeft-- <= 0 || Time + wait >= deadline)
    return count(call, &CallerCounts::Refused);
  at(Time + wait, [this, call] { this->call(pickEntry(true), call); });
}

} // namespace pimentofront::testing
