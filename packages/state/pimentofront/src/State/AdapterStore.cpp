#include "pimentofront/State.h"

#include <algorithm>
#include <cassert>
#include <cstring>

namespace pimentofront {
namespace {

/// Records begin at multiples of this, so that a handle of 32 bits addresses
/// 32 GiB.
constexpr std::size_t Alignment = 8;
constexpr std::size_t SmallestIndex = 64;

std::size_t aligned(std::size_t n) {
  return (n + Alignment - 1) / Alignment * Alignment;
}

} // namespace

const char *AdapterStore::at(Place place) const {
  const std::size_t position = std::size_t(place - 1) * Alignment;
  return Blocks[position / BlockBytes].get() + position % BlockBytes;
}

AdapterStore::Header AdapterStore::headerAt(Place place) const {
  Header header;
  std::memcpy(&header, at(place), sizeof(header));
  return header;
}

std::string_view AdapterStore::nameAt(Place place) const {
  return {at(place) + sizeof(Header), headerAt(place).NameSize};
}

std::optional<AdapterRecord> AdapterStore::decodeAt(Place place) const {
  const Header header = headerAt(place);
  const char *bytes = at(place) + sizeof(Header) + header.NameSize;
  const auto record =
      decodeAdapter({bytes, header.Size - sizeof(Header) - header.NameSize});
  assert(record && "the store holds only what it encoded itself");
  AdapterRecord result = *record;
  result.Name = AdapterName(std::string(nameAt(place)));
  result.ChangedAt = header.ChangedAt;
  return result;
}

/// \returns the index slot that holds \p name, or the empty slot to insert it.
std::size_t AdapterStore::findIndex(std::string_view name) const {
  const std::size_t mask = Index.size() - 1;
  std::size_t i = stableHash(name) & mask;
  while (Index[i] != 0 && nameAt(Index[i]) != name)
    i = (i + 1) & mask;
  return i;
}

AdapterStore::Place AdapterStore::append(const AdapterRecord &record) {
  AdapterRecord rest = record;
  rest.Name = AdapterName();
  rest.ChangedAt = 0;
  const std::string bytes = encodeAdapter(rest);
  const std::string &name = record.Name.str();
  const Header header{
      record.ChangedAt,
      static_cast<std::uint32_t>(sizeof(Header) + name.size() + bytes.size()),
      static_cast<std::uint32_t>(name.size())};
  const std::size_t n = aligned(header.Size);
  assert(n <= BlockBytes && "commands are bounded well below a block");
  if (Blocks.empty() || BlockUsed + n > BlockBytes) {
    Blocks.push_back(std::make_unique<char[]>(BlockBytes));
    BlockUsed = 0;
  }
  char *to = Blocks.back().get() + BlockUsed;
  std::memcpy(to, &header, sizeof(header));
  std::memcpy(to + sizeof(header), name.data(), name.size());
  std::memcpy(to + sizeof(header) + name.size(), bytes.data(), bytes.size());
  const std::size_t position = (Blocks.size() - 1) * BlockBytes + BlockUsed;
  BlockUsed += n;
  LiveBytes += n;
  return static_cast<Place>(position / Alignment + 1);
}

void AdapterStore::growIndex() {
  const std::vector<Place> before = std::move(Index);
  Index.assign(std::max(SmallestIndex, 2 * before.size()), 0);
  for (const Place it : before)
    if (it != 0)
      Index[findIndex(nameAt(it))] = it;
}

void AdapterStore::put(const AdapterRecord &record) {
  if (4 * (Count + 1) > 3 * Index.size())
    growIndex();
  const std::size_t i = findIndex(record.Name.str());
  if (Index[i] == 0)
    ++Count;
  else
    LiveBytes -= aligned(headerAt(Index[i]).Size);
  Index[i] = append(record);
  const std::size_t written = (Blocks.size() - 1) * BlockBytes + BlockUsed;
  if (written > 4 * BlockBytes && written > 2 * LiveBytes)
    pack();
}

void AdapterStore::pack() {
  AdapterStore packed;
  for (const Changed &it : changedSince(0))
    packed.put(recordAt(it.Where));
  *this = std::move(packed);
}

std::optional<AdapterRecord> AdapterStore::find(const AdapterName &name) const {
  if (Index.empty())
    return std::nullopt;
  const Place place = Index[findIndex(name.str())];
  return place == 0 ? std::nullopt : decodeAt(place);
}

std::size_t AdapterStore::memoryBytes() const {
  return Blocks.size() * BlockBytes + Index.capacity() * sizeof(Place);
}

std::vector<AdapterStore::Changed>
AdapterStore::changedSince(Revision since) const {
  std::vector<Changed> result;
  for (const Place it : Index) {
    if (it == 0)
      continue;
    const Revision at = headerAt(it).ChangedAt;
    if (since == 0 || at > since)
      result.push_back({at, it});
  }
  std::ranges::sort(result, {}, &Changed::At);
  return result;
}

} // namespace pimentofront
