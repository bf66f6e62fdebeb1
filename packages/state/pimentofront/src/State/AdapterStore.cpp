#include "pimentofront/State.h"

#include <algorithm>
#include <cassert>
#include <cstring>

namespace pimentofront {
namespace {

/// Records begin at multiples of this, so that a handle of 32 bits addresses
/// 32 GiB.
constexpr std::size_t Alignment = 8;
constexpr std::size_t MinIndexSlots = 64;

std::size_t alignUp(std::size_t n) {
  return (n + Alignment - 1) / Alignment * Alignment;
}

} // namespace

const char *AdapterStore::at(RecordHandle handle) const {
  const std::size_t position = std::size_t(handle - 1) * Alignment;
  return Blocks[position / BlockBytes].get() + position % BlockBytes;
}

AdapterStore::Header AdapterStore::headerAt(RecordHandle handle) const {
  Header header;
  std::memcpy(&header, at(handle), sizeof(header));
  return header;
}

std::string_view AdapterStore::nameAt(RecordHandle handle) const {
  return {at(handle) + sizeof(Header), headerAt(handle).NameSize};
}

std::optional<AdapterRecord> AdapterStore::decodeAt(RecordHandle handle) const {
  const Header header = headerAt(handle);
  const char *bytes = at(handle) + sizeof(Header) + header.NameSize;
  const auto record =
      decodeAdapter({bytes, header.Size - sizeof(Header) - header.NameSize});
  assert(record && "the store holds only what it encoded itself");
  AdapterRecord result = *record;
  result.Name = AdapterName(std::string(nameAt(handle)));
  result.ChangedAt = header.ChangedAt;
  return result;
}

/// \returns the index slot that holds \p name, or the empty slot to insert it.
std::size_t AdapterStore::findSlot(std::string_view name) const {
  const std::size_t mask = Index.size() - 1;
  std::size_t i = stableHash(name) & mask;
  while (Index[i] != 0 && nameAt(Index[i]) != name)
    i = (i + 1) & mask;
  return i;
}

AdapterStore::RecordHandle AdapterStore::append(const AdapterRecord &record) {
  AdapterRecord rest = record;
  rest.Name = AdapterName();
  rest.ChangedAt = 0;
  const std::string bytes = encodeAdapter(rest);
  const std::string &name = record.Name.str();
  const Header header{
      record.ChangedAt,
      static_cast<std::uint32_t>(sizeof(Header) + name.size() + bytes.size()),
      static_cast<std::uint32_t>(name.size())};
  const std::size_t n = alignUp(header.Size);
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
  return static_cast<RecordHandle>(position / Alignment + 1);
}

void AdapterStore::growIndex() {
  const std::vector<RecordHandle> before = std::move(Index);
  Index.assign(std::max(MinIndexSlots, 2 * before.size()), 0);
  for (const RecordHandle it : before)
    if (it != 0)
      Index[findSlot(nameAt(it))] = it;
}

void AdapterStore::put(const AdapterRecord &record) {
  if (4 * (Count + 1) > 3 * Index.size())
    growIndex();
  const std::size_t i = findSlot(record.Name.str());
  if (Index[i] == 0)
    ++Count;
  else
    LiveBytes -= alignUp(headerAt(Index[i]).Size);
  Index[i] = append(record);
  const std::size_t written = (Blocks.size() - 1) * BlockBytes + BlockUsed;
  if (written > 4 * BlockBytes && written > 2 * LiveBytes)
    compact();
}

void AdapterStore::compact() {
  AdapterStore compacted;
  for (const Changed &it : changedSince(0))
    compacted.put(recordAt(it.Handle));
  *this = std::move(compacted);
}

std::optional<AdapterRecord> AdapterStore::find(const AdapterName &name) const {
  if (Index.empty())
    return std::nullopt;
  const RecordHandle handle = Index[findSlot(name.str())];
  return handle == 0 ? std::nullopt : decodeAt(handle);
}

std::size_t AdapterStore::memoryBytes() const {
  return Blocks.size() * BlockBytes + Index.capacity() * sizeof(RecordHandle);
}

std::vector<AdapterStore::Changed>
AdapterStore::changedSince(Revision since) const {
  std::vector<Changed> result;
  for (const RecordHandle it : Index) {
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
