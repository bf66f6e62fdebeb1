#include "pimentofront/Forward.h"

#include <charconv>

namespace pimentofront {

std::vector<PromptPart> sharedParts(std::vector<PromptPart> parts) {
  if (!parts.empty())
    parts.pop_back();
  return parts;
}

std::vector<SharedPart> sharedParts(ContentHasher &hasher,
                                    const AccountName &account,
                                    const std::vector<PromptPart> &parts) {
  std::vector<SharedPart> shared;
  for (const PromptPart &it : sharedParts(parts)) {
    const std::uint64_t part = it.Id;
    const ContentHash id =
        hasher.addField(account.str())
            .addField({reinterpret_cast<const char *>(&part), sizeof(part)})
            .finish();
    shared.push_back({.Id = id, .Part = part});
  }
  return shared;
}

std::string partName(std::uint64_t part) {
  constexpr int Hexadecimal = 16;
  std::array<char, 2 * sizeof(part)> buf{};
  const auto end = std::to_chars(buf.begin(), buf.end(), part, Hexadecimal);
  return {buf.data(), end.ptr};
}

std::string describeParts(const std::vector<PromptPart> &parts) {
  std::string text;
  for (const PromptPart &it : parts)
    text += (text.empty() ? "" : ",") + partName(it.Id);
  return text;
}

} // namespace pimentofront
