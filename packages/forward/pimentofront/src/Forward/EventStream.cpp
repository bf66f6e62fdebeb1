#include "pimentofront/Forward.h"

#include <charconv>

namespace pimentofront {
namespace {

bool isLineEnd(char c) { return c == '\n' || c == '\r'; }

/// \returns the length of the line ending at \p at: LF, CR or CR LF.
std::size_t lineEndLength(std::string_view text, std::size_t at) {
  return text.substr(at).starts_with("\r\n") ? 2 : 1;
}

/// \returns the position after the empty line that ends the first event in
/// \p text, or npos. The search begins at \p from.
std::size_t endOfEvent(std::string_view text, std::size_t from) {
  std::size_t i = from;
  while (i < text.size()) {
    if (!isLineEnd(text[i])) {
      ++i;
      continue;
    }
    i += lineEndLength(text, i);
    if (i < text.size() && isLineEnd(text[i]))
      return i + lineEndLength(text, i);
  }
  return std::string_view::npos;
}

/// \returns the number in the `id` line of an event; nothing without one.
std::optional<std::uint64_t> idOf(std::string_view event) {
  constexpr std::string_view Name = "id:";
  constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";
  if (event.starts_with(ByteOrderMark))
    event.remove_prefix(ByteOrderMark.size());
  while (!event.empty()) {
    const std::size_t end = event.find_first_of("\r\n");
    std::string_view line = event.substr(0, end);
    if (line.starts_with(Name)) {
      line.remove_prefix(Name.size());
      if (line.starts_with(' '))
        line.remove_prefix(1);
      std::uint64_t id = 0;
      const auto read =
          std::from_chars(line.data(), line.data() + line.size(), id);
      if (read.ec == std::errc())
        return id;
      return std::nullopt;
    }
    if (end == std::string_view::npos)
      break;
    event.remove_prefix(end + 1);
  }
  return std::nullopt;
}

} // namespace

bool EventStream::accept(std::string_view event) {
  const std::optional<std::uint64_t> id = idOf(event);
  if (id && Last && *id <= *Last)
    return false;
  if (id)
    Last = id;
  ++Events;
  return true;
}

std::string EventStream::feed(std::string_view bytes) {
  std::string out;
  if (SplitLineEnd && bytes.starts_with('\n')) {
    if (LastAccepted)
      out += '\n';
    bytes.remove_prefix(1);
  }
  if (!bytes.empty())
    SplitLineEnd = false;
  // The empty line that ends an event may be split between two pieces.
  constexpr std::size_t MaxTerminatorLength = 3;
  std::size_t from = Partial.size() > MaxTerminatorLength
                         ? Partial.size() - MaxTerminatorLength
                         : 0;
  Partial += bytes;
  std::size_t begin = 0;
  while (true) {
    const std::size_t end = endOfEvent(Partial, std::max(from, begin));
    if (end == std::string::npos)
      break;
    const auto event = std::string_view(Partial).substr(begin, end - begin);
    LastAccepted = accept(event);
    if (LastAccepted)
      out += event;
    SplitLineEnd = end == Partial.size() && event.ends_with('\r');
    begin = end;
  }
  Partial.erase(0, begin);
  return out;
}

} // namespace pimentofront
