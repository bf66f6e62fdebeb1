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
/// \brief Adapter records by name in compact form: every process holds all of
/// them, and 100,000 records have to fit into 32 MB together with the rest of
/// the process.
///
/// Records are stored encoded in blocks; a hash index of four bytes per slot
/// refers to them. A changed record is appended again. A store of more than
/// four blocks is compacted when more than half of its bytes are garbage. A
/// lookup decodes the record, which takes some microseconds: use a map where
/// there are few records and many lookups.
class AdapterStore {
public:
  void put(const AdapterRecord &record);
  std::optional<AdapterRecord> find(const AdapterName &name) const;
  std::size_t size() const { return Count; }
  /// \returns bytes of the blocks and the index.
  std::size_t memoryBytes() const;
  /// Position of a record, in units of 8 bytes, plus one; 0 means no record.
  /// Valid until the next put().
  using RecordHandle = std::uint32_t;
  /// \class Changed
  /// \brief Handle of a record and the revision of its last change.
  struct Changed {
    Revision At = 0;
    RecordHandle Handle = 0;
  };
  /// \returns the records that changed after \p since, in order of change,
  /// without decoding them.
  std::vector<Changed> changedSince(Revision since) const;
  AdapterRecord recordAt(RecordHandle handle) const {
    return *decodeAt(handle);
  }

private:
  static constexpr std::size_t BlockBytes = std::size_t(256) << 10;
  struct Header {
    std::uint64_t ChangedAt;
    std::uint32_t Size;
    std::uint32_t NameSize;
  };
  const char *at(RecordHandle handle) const;
  std::string_view nameAt(RecordHandle handle) const;
  Header headerAt(RecordHandle handle) const;
  std::optional<AdapterRecord> decodeAt(RecordHandle handle) const;
  std::size_t findSlot(std::string_view name) const;
  RecordHandle append(const AdapterRecord &record);
  void growIndex();
  void compact();

  std::vector<std::unique_ptr<char[]>> Blocks;
  std::size_t BlockUsed = 0;
  std::vector<RecordHandle> Index;
  std::size_t Count = 0;
  std::size_t LiveBytes = 0;
};

} // namespace pimentofront

#endif
