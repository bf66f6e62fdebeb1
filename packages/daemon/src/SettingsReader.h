#ifndef PIMENTOFRONT_DAEMON_SETTINGS_READER_H
#define PIMENTOFRONT_DAEMON_SETTINGS_READER_H

#include "pimentofront/Base.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace pimentofront {

/// \class SettingsDocument
/// \brief A parsed JSON document with the line number of each value.
struct SettingsDocument {
  std::string File;
  nlohmann::json Root;
  /// Line number of each value, by its JSON pointer.
  std::map<std::string, std::size_t> Lines;

  /// Parses \p text; adds a finding if it is not valid JSON or not an object,
  /// and for each key that appears twice in an object.
  static SettingsDocument parse(const std::string &file, std::string_view text,
                                Findings &findings);
  /// \returns "file:line: /pointer".
  std::string locationOf(const std::string &pointer) const;
};

/// \class SettingsReader
/// \brief Reads and checks the values of one object of a document. A value of
/// the wrong type or out of range adds a finding, and the fallback is returned.
/// Each key that is never read is a finding, too; see reportUnreadKeys().
class SettingsReader {
public:
  SettingsReader(const SettingsDocument &document, std::string pointer,
                 Findings &findings);

  bool has(const std::string &key) const;
  std::string text(const std::string &key, const std::string &fallback);
  std::string requiredText(const std::string &key);
  /// \returns the members of an object; each value must be a string.
  std::map<std::string, std::string> texts(const std::string &key);
  /// \returns an address as "ip:port", or "" if it is missing.
  std::string address(const std::string &key, bool required);
  std::uint64_t integer(const std::string &key, std::uint64_t fallback,
                        std::uint64_t min, std::uint64_t max);
  double real(const std::string &key, double fallback, double min, double max);
  Duration milliseconds(const std::string &key, Duration fallback,
                        Duration max = std::chrono::hours(1));
  bool flag(const std::string &key, bool fallback);
  std::vector<std::string> addresses(const std::string &key);
  /// \returns the texts of a list.
  std::vector<std::string> strings(const std::string &key);
  /// \returns a reader for each object in a list.
  std::vector<SettingsReader> objects(const std::string &key);
  SettingsReader object(const std::string &key);
  /// Adds a finding for each key of the object that was never read.
  void reportUnreadKeys();
  void addFault(const std::string &key, const std::string &message);

private:
  const nlohmann::json *find(const std::string &key);
  void checkAddress(const std::string &pointer, const std::string &text);
  std::string pointerOf(const std::string &key) const {
    return Pointer + "/" + key;
  }

  const SettingsDocument &Document;
  std::string Pointer;
  Findings &Faults;
  const nlohmann::json *Object = nullptr;
  std::set<std::string> ReadKeys;
};

} // namespace pimentofront

#endif
