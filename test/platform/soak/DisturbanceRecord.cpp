#include "DisturbanceRecord.h"

#include <algorithm>

namespace pimentofront::soak {

void DisturbanceRecord::begin(TimePoint now, const std::string &host,
                              HostDisturbance kind) {
  Hosts[host].push_back({.Kind = kind, .From = now});
}

void DisturbanceRecord::end(TimePoint now, const std::string &host,
                            HostDisturbance kind) {
  for (Disturbed &it : Hosts[host])
    if (it.Kind == kind && !it.Until)
      it.Until = now;
}

bool DisturbanceRecord::isCalm(const std::string &host, TimePoint from,
                               TimePoint until) const {
  const auto found = Hosts.find(host);
  return found == Hosts.end() ||
         std::ranges::none_of(found->second, [&](const Disturbed &it) {
           return overlaps(it, from, until);
         });
}

std::string DisturbanceRecord::describe(const std::string &host, TimePoint from,
                                        TimePoint until,
                                        TimePoint origin) const {
  constexpr const char *Names[] = {"stopped", "frozen", "link disturbed"};
  const auto sinceOrigin = [&](TimePoint at) {
    return std::to_string((at - origin) / std::chrono::milliseconds(1));
  };
  const auto found = Hosts.find(host);
  std::string text;
  if (found == Hosts.end())
    return text;
  for (const Disturbed &it : found->second)
    if (overlaps(it, from, until))
      text += ", " + host + " " + Names[static_cast<std::size_t>(it.Kind)] +
              " " + sinceOrigin(it.From) + " to " +
              (it.Until ? sinceOrigin(*it.Until) : "later");
  return text;
}

} // namespace pimentofront::soak
