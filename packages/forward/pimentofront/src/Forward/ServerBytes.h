#ifndef PIMENTOFRONT_FORWARD_SERVER_BYTES_H
#define PIMENTOFRONT_FORWARD_SERVER_BYTES_H

#include "pimentofront/Wire.h"

#include <algorithm>
#include <map>

namespace pimentofront {

/// \class ServerBytes
/// \ingroup Forward
/// \brief Bounds the bytes of requests that this entry has under way to one
/// backend server: sent, and without a complete answer.
///
/// The bound holds over all entries, each of which takes an equal share, as
/// with ConnectionShare. One request is allowed whatever the share, since a
/// large one could never be sent otherwise.
class ServerBytes {
public:
  /// \param limit bytes for one server, over all entries; 0 sets no bound.
  explicit ServerBytes(std::size_t limit) : Limit(limit) {}

  /// \returns whether \p bytes more may be sent to \p server by this entry, one
  /// of \p entries.
  bool hasRoom(const ServerProcess &server, std::size_t bytes,
               std::uint32_t entries) const {
    const auto it = UnderWay.find(server);
    return Limit == 0 || it == UnderWay.end() ||
           it->second.Bytes + bytes <= Limit / std::max(entries, 1U);
  }
  void recordSent(const ServerProcess &server, std::size_t bytes) {
    UnderWay[server].Bytes += bytes;
    ++UnderWay[server].Requests;
    Total += bytes;
  }
  /// \pre recordSent() was called with the same arguments.
  void recordEnded(const ServerProcess &server, std::size_t bytes) {
    const auto it = UnderWay.find(server);
    Total -= bytes;
    it->second.Bytes -= bytes;
    if (--it->second.Requests == 0)
      UnderWay.erase(it);
  }
  bool bounded() const { return Limit > 0; }
  std::size_t total() const { return Total; }

private:
  struct Load {
    std::size_t Bytes = 0;
    std::uint32_t Requests = 0;
  };
  std::size_t Limit;
  /// Servers with requests under way.
  std::map<ServerProcess, Load> UnderWay;
  std::size_t Total = 0;
};

} // namespace pimentofront

#endif
