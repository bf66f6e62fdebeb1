#include "pimentofront/Forward.h"

#include <algorithm>

namespace pimentofront {
namespace {

/// \returns whether a request with these parts has all that the notice names.
bool appliesTo(const PartNotice &notice, const std::vector<SharedPart> &parts) {
  return std::ranges::all_of(notice.With, [&](const SharedPart &it) {
    return std::ranges::find(parts, it) != parts.end();
  });
}

} // namespace

void SuspectParts::apply(const QuarantineUpdate &update) {
  if (update.Full)
    Notices.clear();
  for (const QuarantineNotice &it : update.Notices)
    if (it.State == QuarantineState::Clear)
      Notices.erase(it.Content);
  for (const PartNotice &it : update.Parts)
    Notices[it.Part.Id] = it;
  Version = std::max(Version, update.To);
  collectListed();
}

void SuspectParts::collectListed() {
  Listed.clear();
  for (const auto &[id, notice] : Notices) {
    Listed.insert(id);
    for (const SharedPart &it : notice.With)
      Listed.insert(it.Id);
  }
}

const PartNotice *SuspectParts::find(const std::vector<SharedPart> &parts,
                                     PartState state) const {
  if (Notices.empty())
    return nullptr;
  for (const SharedPart &part : parts) {
    const auto it = Notices.find(part.Id);
    if (it != Notices.end() && it->second.State == state &&
        appliesTo(it->second, parts))
      return &it->second;
  }
  return nullptr;
}

const PartNotice *
SuspectParts::refusalOf(const std::vector<SharedPart> &parts) const {
  return find(parts, PartState::Quarantined);
}

const PartNotice *
SuspectParts::trialOf(const std::vector<SharedPart> &parts) const {
  return find(parts, PartState::OnTrial);
}

std::vector<ContentHash>
SuspectParts::suspectsAmong(const std::vector<SharedPart> &parts) const {
  std::vector<ContentHash> suspects;
  if (Listed.empty())
    return suspects;
  for (const SharedPart &it : parts)
    if (Listed.contains(it.Id))
      suspects.push_back(it.Id);
  return suspects;
}

std::string describePart(const PartNotice &notice) {
  std::vector<PromptPart> with;
  for (const SharedPart &it : notice.With)
    with.push_back({.Id = it.Part});
  return "prompt part " + partName(notice.Part.Part) +
         (with.empty() ? "" : " together with " + describeParts(with)) +
         ", under which servers exited: " + std::to_string(notice.Exits);
}

std::size_t SuspectParts::count(PartState state) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Notices, [state](const auto &it) { return it.second.State == state; }));
}

} // namespace pimentofront
