#include "pimentofront/State.h"

#include <algorithm>

namespace pimentofront {

Revision changedAt(const ConfigurationRecord &record) {
  return std::visit([](const auto &it) { return it.ChangedAt; }, record);
}

const KindRecord *Configuration::findKind(const KindName &name) const {
  const auto it = Kinds.find(name);
  return it == Kinds.end() ? nullptr : &it->second;
}

const DrainRecord *Configuration::findDrain(const HostName &host) const {
  const auto it = Drains.find(host);
  return it == Drains.end() ? nullptr : &it->second;
}

const ZoneRecord *Configuration::findZone(const ZoneName &zone) const {
  const auto it = Zones.find(zone);
  return it == Zones.end() ? nullptr : &it->second;
}

const SoftwareRecord *
Configuration::findSoftware(const ServiceName &service) const {
  const auto it = Software.find(service);
  return it == Software.end() ? nullptr : &it->second;
}

void Configuration::put(const ConfigurationRecord &record) {
  if (const auto *adapter = std::get_if<AdapterRecord>(&record))
    Adapters.put(*adapter);
  if (const auto *kind = std::get_if<KindRecord>(&record))
    Kinds[kind->Name] = *kind;
  if (const auto *drain = std::get_if<DrainRecord>(&record))
    Drains[drain->Host] = *drain;
  if (const auto *zone = std::get_if<ZoneRecord>(&record))
    Zones[zone->Zone] = *zone;
  if (const auto *document = std::get_if<DocumentRecord>(&record))
    Document = *document;
  if (const auto *software = std::get_if<SoftwareRecord>(&record))
    Software[software->Service] = *software;
}

void Configuration::advance(Revision revision) {
  Current = std::max(Current, revision);
}

void Configuration::forEachChanged(
    Revision since,
    const std::function<void(const ConfigurationRecord &)> &visit) const {
  // Records of all kinds but adapters are few: they are collected, sorted and
  // then merged with the adapters by revision.
  std::vector<ConfigurationRecord> others;
  for (const auto &[name, it] : Kinds)
    if (it.ChangedAt > since)
      others.emplace_back(it);
  for (const auto &[host, it] : Drains)
    if (it.ChangedAt > since)
      others.emplace_back(it);
  for (const auto &[zone, it] : Zones)
    if (it.ChangedAt > since)
      others.emplace_back(it);
  for (const auto &[service, it] : Software)
    if (it.ChangedAt > since)
      others.emplace_back(it);
  if (Document && Document->ChangedAt > since)
    others.emplace_back(*Document);
  std::ranges::sort(others, {}, changedAt);
  auto next = others.begin();
  for (const AdapterStore::Changed &it : Adapters.changedSince(since)) {
    for (; next != others.end() && changedAt(*next) < it.At; ++next)
      visit(*next);
    visit(Adapters.recordAt(it.Handle));
  }
  for (; next != others.end(); ++next)
    visit(*next);
}

} // namespace pimentofront
