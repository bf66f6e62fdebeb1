#ifndef PIMENTOFRONT_STATE_CONFIGURATION_H
#define PIMENTOFRONT_STATE_CONFIGURATION_H

#include "AdapterStore.h"
#include "pimentofront/Serving.h"

#include <map>

namespace pimentofront {

/// \class Configuration
/// \ingroup State
/// \brief All records at one revision. The revision only grows.
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
  /// \returns the routing document, or null before the first one.
  const DocumentRecord *document() const {
    return Document ? &*Document : nullptr;
  }
  std::size_t adapterCount() const { return Adapters.size(); }
  const std::map<KindName, KindRecord> &kinds() const { return Kinds; }
  std::size_t memoryBytes() const { return Adapters.memoryBytes(); }

  /// Puts one record in, in force at its `ChangedAt`.
  void put(const ConfigurationRecord &record);
  /// Moves on to \p revision, if that is forward.
  void advance(Revision revision);
  /// Calls \p visit with each record that changed after \p since, in order of
  /// change. Holds one decoded record at a time.
  void forEachChanged(
      Revision since,
      const std::function<void(const ConfigurationRecord &)> &visit) const;

private:
  Revision Current = 0;
  AdapterStore Adapters;
  std::map<KindName, KindRecord> Kinds;
  std::map<HostName, DrainRecord> Drains;
  std::map<ZoneName, ZoneRecord> Zones;
  std::optional<DocumentRecord> Document;
};

/// \returns the revision at which a record was changed last.
Revision changedAt(const ConfigurationRecord &record);

} // namespace pimentofront

#endif
