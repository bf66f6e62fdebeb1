#ifndef PIMENTOFRONT_DAEMON_SLOWNESS_PROBE_H
#define PIMENTOFRONT_DAEMON_SLOWNESS_PROBE_H

#include "pimentofront/Net.h"

namespace pimentofront {

/// \class SlownessProbe
/// \brief Asks the engine on this host how slow the host is, while requests run
/// or wait there.
///
/// Only engines that have stated it in an answer are asked. The health path
/// answers at once whatever the engine does.
class SlownessProbe {
public:
  /// Called when a check fails after one that didn't.
  using FailureCallback = std::function<void()>;
  /// All parameters must outlive the probe.
  SlownessProbe(EventLoop &loop, HttpClient &client, const HeaderCodec &codec,
                const HostPort &engine, AgentNode &node,
                FailureCallback onFailure);

private:
  void ask();
  void onAnswer(const HttpResponse &answer);

  EventLoop &Loop;
  HttpClient &Client;
  const HeaderCodec &Codec;
  HostPort Engine;
  AgentNode &Node;
  FailureCallback OnFailure;
  bool InProgress = false;
  bool Failing = false;
  std::unique_ptr<Timer> Ticker;
};

} // namespace pimentofront

#endif
