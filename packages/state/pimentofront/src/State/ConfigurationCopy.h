#ifndef PIMENTOFRONT_STATE_CONFIGURATION_COPY_H
#define PIMENTOFRONT_STATE_CONFIGURATION_COPY_H

#include "Configuration.h"

#include <deque>

namespace pimentofront {

/// \class ConfigurationCopyOptions
/// \ingroup State
struct ConfigurationCopyOptions {
  /// How long a confirmation is valid, counted from when its probe was sent.
  /// Bounds the time during which an isolated process may use a superseded
  /// configuration.
  Duration Lease = std::chrono::seconds(4);
};

/// \class ConfigurationCopy
/// \ingroup State
/// \brief A process's copy of the configuration, and a lease that says whether
/// the copy may be relied on.
///
/// The process probes its replica periodically. The reply, confirmed by the
/// leader with its quorum, contains the newest revision at the time when the
/// probe arrived. A process serves only if it has this revision and sent the
/// probe less than a lease ago by its own clock. A process that was paused or
/// isolated finds its lease expired and stops serving before it acts on the
/// outdated copy.
class ConfigurationCopy : public ConfigurationView {
public:
  explicit ConfigurationCopy(const ConfigurationCopyOptions &options = {})
      : Options(options) {}

  /// Records a probe that is sent at \p now.
  /// \returns the nonce to send with it.
  std::uint64_t beginProbe(TimePoint now);
  /// \returns when the answered probe was sent; nothing if it isn't known any
  /// more.
  std::optional<TimePoint> onProbeReply(const ProbeReply &reply);
  /// Applies records in order. Records that aren't newer than the revision of
  /// this copy are ignored.
  /// \returns whether hosts or zones were taken out of use or put back in use.
  bool apply(const ConfigurationUpdate &update);

  Revision revision() const override { return Records.revision(); }
  const Configuration &records() const { return Records; }
  /// \returns how long isConfirmed() stays true without a further confirmation.
  Duration remainingLease(TimePoint now) const;

  std::optional<AdapterRecord>
  findAdapter(const AdapterName &name) const override {
    return Records.findAdapter(name);
  }
  const KindRecord *findKind(const KindName &name) const override {
    return Records.findKind(name);
  }
  bool isDrained(const HostName &host) const override;
  bool isEvacuated(const ZoneName &zone) const override;
  const SoftwareRecord *
  findSoftware(const ServiceName &service) const override {
    return Records.findSoftware(service);
  }
  const DocumentRecord *document() const { return Records.document(); }
  bool isConfirmed(TimePoint now) const override;
  std::optional<Duration> confirmationAge(TimePoint now) const override;

private:
  struct Probe {
    std::uint64_t Nonce = 0;
    TimePoint SentAt;
  };
  /// A confirmation of a revision that hasn't arrived yet.
  struct Confirmation {
    Revision At = 0;
    TimePoint ProbeSentAt;
  };
  void applyConfirmations();

  ConfigurationCopyOptions Options;
  Configuration Records;
  std::uint64_t LastNonce = 0;
  std::deque<Probe> Probes;
  std::deque<Confirmation> PendingConfirmations;
  std::optional<TimePoint> ConfirmedAt;
};

} // namespace pimentofront

#endif
