#include "pimentofront/Forward.h"

namespace pimentofront {

QuarantineState QuarantineSet::stateOf(const ContentHash &content) const {
  const auto it = Known.find(content);
  if (it != Known.end())
    return it->second;
  return Observed.contains(content) ? QuarantineState::Watched
                                    : QuarantineState::Clear;
}

void QuarantineSet::apply(const QuarantineUpdate &update) {
  if (update.Full)
    Known.clear();
  for (const QuarantineNotice &it : update.Notices) {
    if (it.State == QuarantineState::Clear)
      Known.erase(it.Content);
    else
      Known[it.Content] = it.State;
  }
  std::erase_if(Observed, [&](const auto &it) {
    return it.second && *it.second <= update.To;
  });
}

void QuarantineSet::onReported(const ContentHash &content,
                               std::uint64_t version) {
  const auto it = Observed.find(content);
  if (it != Observed.end())
    it->second = version;
}

void QuarantineSet::put(const ContentHash &content, QuarantineState state) {
  Observed.erase(content);
  if (state == QuarantineState::Clear)
    Known.erase(content);
  else
    Known[content] = state;
}

} // namespace pimentofront
