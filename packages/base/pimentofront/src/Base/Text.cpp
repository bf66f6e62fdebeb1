#include "pimentofront/Base.h"

#include <algorithm>
#include <array>

namespace pimentofront {
namespace {

struct Utf8Form {
  /// The bits of the first byte that tell the form, and their value.
  unsigned char Mask;
  unsigned char Lead;
  std::size_t Bytes;
  /// Smaller code points have a shorter form.
  char32_t First;
};

constexpr std::array<Utf8Form, 4> Forms = {{{0x80, 0x00, 1, 0},
                                            {0xE0, 0xC0, 2, 0x80},
                                            {0xF0, 0xE0, 3, 0x800},
                                            {0xF8, 0xF0, 4, 0x10000}}};

bool isAllowed(char32_t point) {
  constexpr char32_t Space = 0x20;
  constexpr char32_t Delete = 0x7F;
  constexpr char32_t FirstSurrogate = 0xD800;
  constexpr char32_t LastSurrogate = 0xDFFF;
  constexpr char32_t LastPoint = 0x10FFFF;
  const bool isSurrogate = point >= FirstSurrogate && point <= LastSurrogate;
  return point >= Space && point != Delete && !isSurrogate &&
         point <= LastPoint;
}

/// Removes the first character of \p text.
/// \returns whether it is valid and no control character.
bool takeCharacter(std::string_view &text) {
  const auto lead = static_cast<unsigned char>(text.front());
  const auto form = std::ranges::find_if(
      Forms, [&](const Utf8Form &it) { return (lead & it.Mask) == it.Lead; });
  if (form == Forms.end() || text.size() < form->Bytes)
    return false;
  char32_t point = lead & static_cast<unsigned char>(~form->Mask);
  for (const char c : text.substr(1, form->Bytes - 1)) {
    constexpr unsigned PayloadBits = 6;
    constexpr unsigned char PayloadMask = 0x3F;
    constexpr unsigned char Continuation = 0x80;
    const auto byte = static_cast<unsigned char>(c);
    if ((byte & ~PayloadMask) != Continuation)
      return false;
    point = point << PayloadBits | (byte & PayloadMask);
  }
  text.remove_prefix(form->Bytes);
  return point >= form->First && isAllowed(point);
}

} // namespace

bool isPlainText(std::string_view text) {
  while (!text.empty())
    if (!takeCharacter(text))
      return false;
  return true;
}

} // namespace pimentofront
