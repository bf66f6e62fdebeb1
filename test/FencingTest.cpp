// The numbers that fence an agent's orders were used up by the renewals of one
// term: with 830 agents after some hours. The next ones were those of the next
// term.

#include "pimentofront/Testkit.h"

#include <catch2/catch.hpp>

using namespace pimentofront;
using namespace pimentofront::testkit;
using namespace std::chrono_literals;

namespace {

class NoClock : public WallClock {
public:
  std::uint64_t milliseconds() const override { return 0; }
};

MemoryLogStore storeOfOne() {
  MemoryLogStore store(1);
  const ReplicaGroup group{.Replicas = {{.Id = 1, .Address = "1"}}};
  store.Stored.Snapshot = LogSnapshot::make(1, 1, group, "");
  return store;
}

/// The only replica of a group, as its leader.
class LeaderOfOne : public Transport {
public:
  LeaderOfOne() {
    for (int i = 0; i < 1000 && !Node.leads(Now); ++i)
      Node.tick(Now += 10ms);
    REQUIRE(Node.leads(Now));
  }
  LinkId open(const std::string &, LinkPurpose) override { return 99; }
  void close(LinkId) override {}
  void send(LinkId, const Message &message) override {
    if (const auto *it = std::get_if<LeaseReply>(&message))
      Last = *it;
  }
  LeaseReply announce(LinkId link, const char *host, std::uint64_t process) {
    Node.onMessage(Now, link,
                   Announce{{.Host = HostName(host), .Incarnation = process}});
    return Last;
  }
  LeaseReply renew(LinkId link, const char *host, std::uint64_t process) {
    Node.onMessage(Now, link, RenewLease{HostName(host), process});
    return Last;
  }

  LeaseReply Last;
  MemoryLogStore Store = storeOfOne();
  NoClock Clock;
  TimePoint Now{100s};
  ReplicaNode Node{Now, {}, Store.Stored, Store, *this, Clock};
};

} // namespace

TEST_CASE("renewals use up no fencing tokens") {
  LeaderOfOne leader;
  const std::uint64_t first = leader.announce(1, "a", 1).Fence;
  for (int i = 0; i < 1000; ++i)
    leader.renew(1, "a", 1);
  const std::uint64_t second = leader.announce(2, "b", 1).Fence;
  CHECK(second > first);
  CHECK(second - first < 10);
}

TEST_CASE("the next process of a host gets a higher fencing token") {
  LeaderOfOne leader;
  const std::uint64_t first = leader.announce(1, "a", 1).Fence;
  const std::uint64_t second = leader.announce(2, "a", 2).Fence;
  CHECK(second > first);
  CHECK(leader.renew(2, "a", 2).Fence == second);
  // The former process doesn't get one above that of its successor.
  const LeaseReply former = leader.renew(1, "a", 1);
  CHECK_FALSE(former.Known);
  CHECK(former.Fence <= first);
  // It gets one if it takes the host over again.
  CHECK(leader.announce(1, "a", 1).Fence > second);
}
