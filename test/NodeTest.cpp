#include "pimentofront/Testkit.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace pimentofront::testkit;
using namespace std::chrono_literals;

namespace {

class RecordingTransport : public Transport {
public:
  LinkId open(const std::string &, LinkPurpose) override { return ++Last; }
  void send(LinkId link, const Message &) override { Used.insert(link); }
  void close(LinkId) override {}

  LinkId Last = 100;
  std::set<LinkId> Used;
};

class NoClock : public WallClock {
public:
  std::uint64_t milliseconds() const override { return 0; }
};

} // namespace

TEST_CASE("when one of two links to a replica ends the other one serves") {
  MemoryLogStore store(1);
  ReplicaGroup group;
  for (ReplicaId id = 1; id <= 3; ++id)
    group.Replicas.push_back({.Id = id, .Address = std::to_string(id)});
  store.Stored.Snapshot = LogSnapshot::make(1, 1, group, "");
  RecordingTransport transport;
  const NoClock clock;
  const TimePoint now{100s};
  ReplicaNode node(now, {}, store.Stored, store, transport, clock);
  const Hello hello{.Protocol = ProtocolVersion, .Replica = 2};
  node.onLinkOpen(now, 1, hello);
  node.onLinkOpen(now, 2, hello);
  node.onLinkClosed(now, 2);
  node.tick(now + 5s); // Asks for an election.
  CHECK(transport.Used.contains(1));
  CHECK_FALSE(transport.Used.contains(2));
}
