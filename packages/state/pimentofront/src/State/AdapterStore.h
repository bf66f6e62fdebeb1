#ifndef PIMENTOFRONT_STATE_ADAPTER_STORE_H
#define PIMENTOFRONT_STATE_ADAPTER_STORE_H

#include "pimentofront/Wire.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace pimentofront {

/// \class AdapterStore
/// \ingroup State
/// \brief Adapter records by name, packed: every process holds all of them, and
/// 100,000 have to fit beside everything else into 32 MB.
///
/// Records stand encoded in blocks; an index of four bytes a place points at
/// them. A changed record is written anew, and when half of the bytes are
/// garbage, all are packed again. Finding one decodes it, which costs some
/// microseconds: use a map where there are few records and many lookups.
class AdapterStore {
public:
  void put(const AdapterRecord &record);
  std::optional<AdapterRecord> find(const AdapterName &name) const;
  std::size_t size() const { return Count; }
  /// \returns bytes of the blocks and the index.
  std::size_t memoryBytes() const;
  /// Position of a record plus one; 0 is none. Good until the next put().
  using Place = std::uint32_t;
  /// \class Changed
  /// \brief Where a record stands, and when it changed last.
  struct Changed {
    Revision At = 0;
    Place Where = 0;
  };
  /// \returns the records that were changed after \p since, in order of change,
  /// without decoding them.
  std::vector<Changed> changedSince(Revision since) const;
  AdapterRecord recordAt(Place place) const { return *decodeAt(place); }

private:
  static constexpr std::size_t BlockBytes = std::size_t(256) << 10;
  struct Header {
    std::uint64_t ChangedAt;
    std::uint32_t Size;
    std::uint32_t NameSize;
  };
  const char *at(Place place) const;
  std::string_view nameAt(Place place) const;
  Header headerAt(Place place) const;
  std::optional<AdapterRecord> decodeAt(Place place) const;
  std::size_t findIndex(std::string_view name) const;
  Place append(const AdapterRecord &record);
  void growIndex();
  void pack();

  std::vector<std::unique_ptr<char[]>> Blocks;
  std::size_t BlockUsed = 0;
  std::vector<Place> Index;
  std::size_t Count = 0;
  std::size_t LiveBytes = 0;
};

} // namespace pimentofront

#endif
