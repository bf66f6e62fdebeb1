//===- SlopesMain.cpp - Cost of each role by size ---------------*- C++ -*-===//
///
/// Measures memory, message sizes and processor time of each role at several
/// sizes and fits a line to each: cost = base + slope x size. docs/CAPACITY.md
/// computes its figures from these slopes. With "--make-folder DIR N ADDRESS"
/// the program instead writes a replica's data folder with N adapters.
///
//===----------------------------------------------------------------------===//

#include "pimentofront/Testkit.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <malloc.h>
#include <numeric>
#include <time.h>

using namespace pimentofront;

namespace {

/// \returns the processor time of this process in microseconds.
double processorMicros() {
  timespec ts{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
  return static_cast<double>(ts.tv_sec) * 1e6 +
         static_cast<double>(ts.tv_nsec) / 1e3;
}

double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

struct Point {
  double Size = 0;
  double Cost = 0;
};

/// Fits a line by least squares; prints its base, its slope and the largest
/// deviation of a point.
void printFit(const char *what, const char *unit,
              const std::vector<Point> &points) {
  const auto n = static_cast<double>(points.size());
  double sx = 0, sy = 0, sxx = 0, sxy = 0;
  for (const Point &it : points) {
    sx += it.Size;
    sy += it.Cost;
    sxx += it.Size * it.Size;
    sxy += it.Size * it.Cost;
  }
  const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  const double base = (sy - slope * sx) / n;
  double error = 0;
  for (const Point &it : points)
    error = std::max(error, std::abs(base + slope * it.Size - it.Cost));
  std::printf("%-46s", what);
  for (const Point &it : points)
    std::printf(" %g:%.4g", it.Size, it.Cost);
  std::printf("  -> %.4g + %.5g x size %s, error %.3g\n", base, slope, unit,
              error);
}

AdapterRecord adapterRecord(std::size_t i) {
  return {
      .Name = AdapterName("catalogue-adapter-" + std::to_string(i)),
      .BaseModel = "base-7b",
      .Versions = {{1, "store://catalogue-adapter-" + std::to_string(i), true}},
      .ChangedAt = i + 1,
      .ChangedBy = OperatorName("operator")};
}

MemberRecord memberRecord(std::size_t i) {
  return {.Host = HostName("worker-" + std::to_string(i)),
          .Incarnation = 0x123456789abcULL + i,
          .Zone = ZoneName("zone-" + std::to_string(i % 7)),
          .Address = "10.0.0.1:9080",
          .BaseModel = i % 2 ? "base-7b" : "base-70b",
          .Slots = 6,
          .BatchCapacity = 16};
}

/// Repeats \p action for at least 200 ms of processor time.
/// \returns the mean processor time per call in microseconds.
template <class Action> double microsPerCall(Action &&action) {
  constexpr double MinMicros = 200'000;
  std::uint64_t calls = 0;
  const double begin = processorMicros();
  double spent = 0;
  do {
    for (int i = 0; i < 16; ++i)
      action();
    calls += 16;
    spent = processorMicros() - begin;
  } while (spent < MinMicros);
  return spent / static_cast<double>(calls);
}

//===----------------------------------------------------------------------===//
// Entry
//===----------------------------------------------------------------------===//

void measureEntry() {
  std::vector<Point> memory;
  std::vector<Point> lookup;
  for (const std::size_t n : {1000U, 10000U, 50000U, 100000U}) {
    const double before = heapBytes();
    Configuration configuration;
    for (std::size_t i = 0; i < n; ++i)
      configuration.put(adapterRecord(i));
    memory.push_back({static_cast<double>(n), heapBytes() - before});
    std::size_t i = 0;
    lookup.push_back({static_cast<double>(n), microsPerCall([&] {
                        i = (i + 7919) % n;
                        (void)configuration.findAdapter(adapterRecord(i).Name);
                      })});
  }
  printFit("configuration: bytes by adapters", "B", memory);
  printFit("configuration: lookup by adapters", "us", lookup);

  std::vector<Point> members;
  std::vector<Point> routes;
  for (const std::size_t n : {100U, 400U, 830U, 1660U}) {
    const double before = heapBytes();
    MemberViews views;
    for (std::size_t i = 0; i < n; ++i) {
      const MemberRecord record = memberRecord(i);
      views[record.Host] = {.Record = record,
                            .NameHash = stableHash(record.Host.str())};
    }
    members.push_back({static_cast<double>(n), heapBytes() - before});
    AffinityRouting routing({});
    std::size_t i = 0;
    routes.push_back(
        {static_cast<double>(n), microsPerCall([&] {
           const std::vector<TriedHost> tried;
           const AdapterKey key{AdapterName(std::to_string(++i)), 1};
           (void)routing.choose(
               TimePoint(),
               {.Key = key, .BaseModel = "base-7b", .Tried = tried}, views);
         })});
  }
  printFit("members: bytes by agents", "B", members);
  printFit("route: time by agents", "us", routes);

  AffinityRouting routing({});
  const double before = heapBytes();
  for (std::size_t i = 0; i < 8192; ++i)
    routing.learn({adapterRecord(i).Name, 1}, HostName("worker-1"), true);
  std::printf("%-46s %.0f B\n", "hints of an entry at their maximum (8192)",
              heapBytes() - before);
}

//===----------------------------------------------------------------------===//
// Messages
//===----------------------------------------------------------------------===//

constexpr std::size_t WebSocketOverhead = 8;

void printSize(const char *what, const Message &message) {
  constexpr HybridTime Now = 1'790'000'000'000ULL << 16;
  const std::string bytes = encodeFrame({Now, message});
  const double encode = microsPerCall([&] {
    (void)encodeFrame({Now, message});
  });
  const double decode = microsPerCall([&] { (void)decodeFrame(bytes); });
  std::printf("%-46s %zu B, encode %.2f us, decode %.2f us\n", what,
              bytes.size() + WebSocketOverhead, encode, decode);
}

void measureMessages() {
  const HostName host("worker-123");
  const std::uint64_t incarnation = 0x123456789abcdefULL;
  const AdapterKey key{AdapterName("catalogue-adapter-12345"), 1};
  printSize("renewal of a lease", RenewLease{host, incarnation});
  printSize("its reply", LeaseReply{true, std::chrono::seconds(6), 830});
  printSize("probe", ProbeRevision{host, 12345, 12345});
  printSize("its reply", ProbeReply{12345, 12345, {3, 12345}});
  printSize(
      "one adapter's change",
      ConfigurationUpdate{.UpTo = 12345, .Records = {adapterRecord(12345)}});
  printSize("one member's change",
            MemberUpdate{.To = {3, 12346}, .Members = {memberRecord(123)}});
  printSize("load demand",
            LoadDemand{host, incarnation, key, 4, std::chrono::seconds(3)});
  printSize("its status", LoadQueueStatus{key, std::chrono::seconds(1)});
  printSize("load ticket", LoadTicket{12345, key});
  printSize("load done", LoadDone{host, 12345, true, std::chrono::seconds(1)});
  printSize("heartbeat of the log", AppendRequest{.From = incarnation});
  printSize("its reply", AppendReply{.From = incarnation});
  printSize("claim",
            Propose{12345,
                    {.Body = ClaimRequest{CallerName("counter"),
                                          RequestId("order-0123456789"),
                                          1234567,
                                          {incarnation, 12345},
                                          1790000000000}}});
  printSize("execute (256 B of prompt)",
            ExecuteRequest{.Attempt = {incarnation, 12345},
                           .Key = key,
                           .Prompt = std::string(256, 'x')});
  printSize("refused", AttemptRefused{.Attempt = {incarnation, 12345}});
  printSize("chunk", AttemptChunk{{incarnation, 12345}, 100, 1, "token"});
}

//===----------------------------------------------------------------------===//
// Agent
//===----------------------------------------------------------------------===//

void measureAgent() {
  std::vector<Point> points;
  for (const int tokens : {1, 20, 100, 240}) {
    LeastPopular eviction;
    UncoordinatedLoads gate;
    AgentController agent({.BaseModel = "m", .Slots = 6, .BatchingShare = 0},
                          eviction, gate);
    TimePoint now{std::chrono::seconds(100)};
    agent.onEngineFound(now, {}, true);
    agent.onEngineFound(now + std::chrono::seconds(5), {}, true);
    std::uint64_t n = 0;
    const auto serveRequest = [&] {
      const AttemptId attempt{1, ++n};
      const AdapterKey key{AdapterName("adapter-" + std::to_string(n % 6)), 1};
      agent.onExecute(now, 1,
                      {.Attempt = attempt,
                       .Kind = KindName("k"),
                       .Remaining = std::chrono::seconds(30),
                       .Key = key,
                       .BaseModel = "m"});
      agent.onLoadEnded(now, key, true, Duration(1));
      for (int i = 0; i < tokens; ++i)
        agent.onTokens(now, attempt, 1, "token");
      agent.onWorkEnded(now, attempt, AttemptEnding::Answered, "");
      (void)agent.takeCommands();
    };
    for (int i = 0; i < 6; ++i)
      serveRequest();
    points.push_back(
        {static_cast<double>(tokens), microsPerCall(serveRequest)});
  }
  printFit("agent: decisions for a request by tokens", "us", points);

  std::vector<Point> popularity;
  for (const std::size_t n : {1000U, 2000U, 4000U}) {
    const double before = heapBytes();
    PopularityTable table({});
    for (std::size_t i = 0; i < n; ++i)
      table.recordRequest(TimePoint(std::chrono::seconds(1)),
                          {adapterRecord(i).Name, 1});
    popularity.push_back({static_cast<double>(n), heapBytes() - before});
  }
  printFit("agent: popularity bytes by adapters asked for", "B", popularity);
}

//===----------------------------------------------------------------------===//
// Replica
//===----------------------------------------------------------------------===//

/// Counts the bytes of sent messages, encoded as on the wire.
class CountingTransport : public Transport {
public:
  LinkId open(const std::string &, LinkPurpose) override { return 1; }
  void send(LinkId, const Message &message) override {
    Bytes += encodeFrame({1, message}).size() + WebSocketOverhead;
  }
  void close(LinkId) override {}
  std::size_t Bytes = 0;
};

void measureReplica() {
  std::vector<Point> pushes;
  std::vector<Point> bytes;
  Configuration configuration;
  for (std::size_t i = 0; i < 100000; ++i)
    configuration.put(adapterRecord(i));
  Revision revision = 100000;
  configuration.advance(revision);
  for (const std::size_t n : {100U, 410U, 830U, 1240U}) {
    CountingTransport transport;
    Subscribers subscribers(transport);
    MemberTable members;
    for (std::size_t i = 0; i < n; ++i)
      subscribers.add(i, {.Host = HostName("e"), .Known = revision});
    AdapterRecord record = adapterRecord(5);
    int rounds = 0;
    pushes.push_back({static_cast<double>(n), microsPerCall([&] {
                        record.ChangedAt = ++revision;
                        configuration.put(record);
                        configuration.advance(revision);
                        subscribers.push(configuration, members,
                                         QuarantineLedger());
                        ++rounds;
                      })});
    bytes.push_back({static_cast<double>(n),
                     static_cast<double>(transport.Bytes) / rounds});
  }
  printFit("replica: a change, time by subscribers", "us", pushes);
  printFit("replica: a change, bytes by subscribers", "B", bytes);

  std::vector<Point> renewals;
  for (const std::size_t n : {100U, 400U, 830U, 1660U}) {
    MemberTable members;
    const TimePoint now{std::chrono::seconds(1)};
    for (std::size_t i = 0; i < n; ++i)
      members.announce(now, memberRecord(i));
    renewals.push_back({static_cast<double>(n), microsPerCall([&] {
                          for (std::size_t i = 0; i < n; ++i)
                            members.renew(now, memberRecord(i).Host,
                                          memberRecord(i).Incarnation);
                          members.expire(now);
                        })});
  }
  printFit("leader: renewals of all, time by agents", "us", renewals);

  std::vector<Point> demands;
  for (const std::size_t n : {10U, 50U, 200U, 800U}) {
    LoadScheduler scheduler({});
    const TimePoint now{std::chrono::seconds(1)};
    std::size_t i = 0;
    const auto addDemand = [&] {
      ++i;
      scheduler.onDemand(now, {memberRecord(i % n).Host,
                               1,
                               {AdapterName(std::to_string(i % n)), 1},
                               static_cast<std::uint32_t>(1 + i % 7),
                               std::chrono::seconds(9)});
    };
    for (std::size_t j = 0; j < n; ++j)
      addDemand();
    demands.push_back({static_cast<double>(n), microsPerCall(addDemand)});
  }
  printFit("scheduler: a demand, time by demands waiting", "us", demands);

  std::vector<Point> claims;
  std::vector<Point> claimTimes;
  for (const std::size_t n : {10000U, 50000U, 100000U}) {
    const double before = heapBytes();
    ClaimLedger ledger;
    const double begin = processorMicros();
    for (std::size_t i = 0; i < n; ++i)
      ledger.claim(1000, {CallerName("counter"),
                          RequestId("order-" + std::to_string(i)),
                          i,
                          {1, i},
                          1000});
    claimTimes.push_back({static_cast<double>(n), (processorMicros() - begin) /
                                                      static_cast<double>(n)});
    claims.push_back({static_cast<double>(n), heapBytes() - before});
  }
  printFit("ledger: bytes by claims kept", "B", claims);
  printFit("ledger: time of a claim by claims kept", "us", claimTimes);

  std::vector<Point> snapshots;
  std::vector<Point> snapshotTimes;
  for (const std::size_t n : {3000U, 30000U, 100000U}) {
    StateMachine state;
    for (std::size_t i = 0; i < n; ++i) {
      const AdapterRecord record = adapterRecord(i);
      state.apply(0, {.Body = CreateAdapter{record.Name, record.BaseModel}});
      state.apply(0, {.Body = CreateVersion{record.Name, 1,
                                            record.Versions[0].Source}});
    }
    const double begin = processorMicros();
    snapshots.push_back(
        {static_cast<double>(n), static_cast<double>(state.encode().size())});
    snapshotTimes.push_back(
        {static_cast<double>(n), (processorMicros() - begin) / 1000});
  }
  printFit("snapshot: bytes by adapters", "B", snapshots);
  printFit("snapshot: time to encode by adapters", "ms", snapshotTimes);
}

void measureDisk() {
  namespace fs = std::filesystem;
  const std::string folder = "/tmp/pimentofront-slopes";
  fs::remove_all(folder);
  auto store = FileLogStore::open(folder, 1);
  LogIndex index = 0;
  for (const int batch : {1, 8, 64, 512}) {
    std::vector<double> times;
    for (int i = 0; i < 100; ++i) {
      LogWrite write;
      for (int j = 0; j < batch; ++j)
        write.Entries.push_back(
            {1, ++index, EntryKind::Command, 0, std::string(120, 'c')});
      const auto begin = std::chrono::steady_clock::now();
      (void)(*store)->write(write);
      const std::chrono::duration<double, std::milli> took =
          std::chrono::steady_clock::now() - begin;
      times.push_back(took.count());
    }
    std::ranges::sort(times);
    std::printf("disk: %3d entries per sync%23s median %.3f ms, p99 %.3f ms, "
                "%.0f entries per second\n",
                batch, "", times[50], times[98], batch / times[50] * 1000);
  }
  fs::remove_all(folder);
}

int makeFolder(const std::string &folder, std::size_t n,
               const std::string &address) {
  constexpr ReplicaId Id = 77;
  auto store = FileLogStore::open(folder, Id);
  if (!store)
    return 1;
  StateMachine state;
  state.apply(0, {.Body = SetKind{{.Name = KindName("counter")}}});
  for (std::size_t i = 0; i < n; ++i) {
    const AdapterRecord record = adapterRecord(i);
    state.apply(0, {.Body = CreateAdapter{record.Name, record.BaseModel}});
    state.apply(
        0, {.Body = CreateVersion{record.Name, 1, record.Versions[0].Source}});
    state.apply(0, {.Body = DeclareLive{record.Name, {1}}});
  }
  const ReplicaGroup group{
      {{.Id = Id, .Host = HostName("n1"), .Address = address}}};
  const LogSnapshot snapshot = LogSnapshot::make(1, 1, group, state.encode());
  return (*store)->compact(snapshot, {}) ? 0 : 1;
}

} // namespace

int main(int argc, char **argv) {
  if (argc == 5 && std::strcmp(argv[1], "--make-folder") == 0)
    return makeFolder(argv[2], std::strtoull(argv[3], nullptr, 10), argv[4]);
  measureEntry();
  measureMessages();
  measureAgent();
  measureReplica();
  measureDisk();
}
