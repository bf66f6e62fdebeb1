#ifndef PIMENTOFRONT_CROWD_CROWD_H
#define PIMENTOFRONT_CROWD_CROWD_H

#include "pimentofront/Net.h"

struct bufferevent;

namespace pimentofront::crowd {

/// What each client of a crowd does.
struct CrowdPlan {
  HostPort Address;
  int Clients = 0;
  /// Sent at once, as far as the other side reads.
  std::string First;
  /// Sent after First, and so often.
  std::string Repeated;
  std::size_t Repetitions = 0;
  /// Sent one byte each DripPeriod after the rest.
  std::string Dripped;
  Duration DripPeriod = std::chrono::milliseconds(500);
  /// Otherwise the client reads nothing, and its receive buffer is small.
  bool Reads = true;
};

/// \class Crowd
/// \brief Clients that don't behave: each opens a connection, sends what the
/// plan says, and keeps the connection open.
class Crowd {
public:
  Crowd(EventLoop &loop, CrowdPlan plan);
  ~Crowd();
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;

  /// \returns whether the crowd has sent, received and lost nothing for \p
  /// quiet.
  bool isQuiet(TimePoint now, Duration quiet) const {
    return now >= ChangedAt + quiet;
  }
  /// \returns the number of clients whose connection is open.
  int open() const { return Open; }

private:
  struct Client;
  void recordChange() { ChangedAt = Loop.now(); }

  EventLoop &Loop;
  CrowdPlan Plan;
  std::vector<std::unique_ptr<Client>> Clients;
  std::unique_ptr<Timer> DripTimer;
  std::size_t Dripped = 0;
  TimePoint ChangedAt;
  int Open = 0;
};

} // namespace pimentofront::crowd

#endif
