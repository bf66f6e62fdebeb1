#ifndef PIMENTOFRONT_STATE_CONFIGURATION_H
#define PIMENTOFRONT_STATE_CONFIGURATION_H

#include "AdapterStore.h"
#include "pimentofront/Serving.h"

#include <map>

namespace pimentofront {

/// \class Configuration
/// \ingroup State
/// \brief All configuration records at one revision. The revision never
/// decreases.
class Configuration {
public:
  Revision revision() const { return Current; }
  std::optional<AdapterRecord> findAdapter(const AdapterName &name) const {
    return Adapters.find(name);
  }
  const KindRecord *findKind(const KindName &name) const;
  const DrainRecord *findDrain(const HostName &host) const;
  const ZoneRecord *findZone(const ZoneName &zone) const;
  const std::map<ZoneName, ZoneRecord> &zones() const { return Zones; }
  const SoftwareRecord *findSoftware(const ServiceName &service) const;
  const std::map<ServiceName, SoftwareRecord> &software() const {
    return Software;
  }
  /// \returns the routing document, or null before the first one.
  const DocumentRecord *document() const {
    return Document ? &*Document : nullptr;
  }
  std::size_t adapterCount() const { return Adapters.size(); }
  const std::map<KindName, KindRecord> &kinds() const { return Kinds; }
  std::size_t memoryBytes() const { return Adapters.memoryBytes(); }

  /// Inserts or replaces one record, which took effect at its `ChangedAt`.
  void put(const ConfigurationRecord &record);
  /// Sets the revision to \p revision unless that is lower than the current
  /// one.
  void advance(Revision revision);
  /// Calls \p visit for each record that changed after \p since, in order of
  /// change. At most one adapter record is decoded at a time.
  void forEachChanged(
      Revision since,
      const std::function<void(const ConfigurationRecord &)> &visit) const;

private:
  Revision Current = 0;
  AdapterStore Adapters;
  std::map<KindName, KindRecord> Kinds;
  std::map<HostName, DrainRecord> Drains;
  std::map<ZoneName, ZoneRecord> Zones;
  std::map<ServiceName, SoftwareRecord> Software;
  std::optional<DocumentRecord> Document;
};

/// \returns the revision at which \p record was last changed.
Revision changedAt(const ConfigurationRecord &record);

} // namespace pimentofront

#endif
