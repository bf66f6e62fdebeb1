#ifndef PIMENTOFRONT_STATE_CONFIGURATION_COPY_H
#define PIMENTOFRONT_STATE_CONFIGURATION_COPY_H

#include "Configuration.h"

#include <deque>

namespace pimentofront {

/// \class ConfigurationCopyOptions
/// \ingroup State
struct ConfigurationCopyOptions {
  /// A confirmation counts for so long after its question was sent. Bounds the
  /// time in which an isolated process may still use what was superseded.
  Duration Lease = std::chrono::seconds(4);
};

/// \class ConfigurationCopy
/// \ingroup State
/// \brief The configuration that a process has in force, and whether it may
/// rely on it.
///
/// The process asks its replica again and again; the answer, confirmed with
/// the leader and its quorum, says which revision was the newest when the
/// question arrived. Only a process that has this revision, and asked less
/// than a lease ago by its own clock, serves. A process that was frozen or cut
/// off finds its lease run out, and stops serving before it acts.
class ConfigurationCopy : public ConfigurationView {
public:
  explicit ConfigurationCopy(const ConfigurationCopyOptions &options = {})
      : Options(options) {}

  /// \returns the question to send now.
  std::uint64_t beginProbe(TimePoint now);
  void onProbeReply(const ProbeReply &reply);
  /// Records apply in order; those that would go back are ignored.
  /// \returns whether hosts or zones were taken out of use, or back.
  bool apply(const ConfigurationUpdate &update);

  Revision revision() const { return Records.revision(); }
  const Configuration &records() const { return Records; }
  /// \returns the time left in which isConfirmed() holds without news.
  Duration leaseLeft(TimePoint now) const;

  std::optional<AdapterRecord>
  findAdapter(const AdapterName &name) const override {
    return Records.findAdapter(name);
  }
  const KindRecord *findKind(const KindName &name) const override {
    return Records.findKind(name);
  }
  bool isDrained(const HostName &host) const override;
  bool isEvacuated(const ZoneName &zone) const override;
  const DocumentRecord *document() const { return Records.document(); }
  bool isConfirmed(TimePoint now) const override;
  std::optional<Duration> confirmedAge(TimePoint now) const override;

private:
  struct Probe {
    std::uint64_t Nonce = 0;
    TimePoint SentAt;
  };
  /// A confirmation that waits until its revision has arrived.
  struct Confirmation {
    Revision At = 0;
    TimePoint AskedAt;
  };
  void useConfirmations();

  ConfigurationCopyOptions Options;
  Configuration Records;
  std::uint64_t LastNonce = 0;
  std::deque<Probe> Probes;
  std::deque<Confirmation> Waiting;
  std::optional<TimePoint> ConfirmedAt;
};

} // namespace pimentofront

#endif
