#include "SettingsReader.h"

#include "pimentofront/Net.h"

#include <algorithm>

namespace pimentofront {
namespace {

using Json = nlohmann::json;

/// Input iterator that counts the lines that the parser has read.
struct CountingIterator {
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char *;
  using reference = const char &;

  const char *At = nullptr;
  std::size_t *Line = nullptr;

  reference operator*() const { return *At; }
  CountingIterator &operator++() {
    if (*At == '\n')
      ++*Line;
    ++At;
    return *this;
  }
  CountingIterator operator++(int) {
    CountingIterator before = *this;
    ++*this;
    return before;
  }
  friend bool operator==(const CountingIterator &a, const CountingIterator &b) {
    return a.At == b.At;
  }
  friend bool operator!=(const CountingIterator &a, const CountingIterator &b) {
    return a.At != b.At;
  }
};

/// Builds the document and records the line of each value.
class LineRecordingReader : public nlohmann::detail::json_sax_dom_parser<Json> {
public:
  using Base = nlohmann::detail::json_sax_dom_parser<Json>;
  LineRecordingReader(SettingsDocument &document, const std::size_t &line,
                      Findings &findings)
      : Base(document.Root, false), Document(document), Line(line),
        Faults(findings) {}

  bool null() { return recordLine() && Base::null(); }
  bool boolean(bool it) { return recordLine() && Base::boolean(it); }
  bool number_integer(number_integer_t it) {
    return recordLine() && Base::number_integer(it);
  }
  bool number_unsigned(number_unsigned_t it) {
    return recordLine() && Base::number_unsigned(it);
  }
  bool number_float(number_float_t it, const string_t &text) {
    return recordLine() && Base::number_float(it, text);
  }
  bool string(string_t &it) { return recordLine() && Base::string(it); }
  bool start_object(std::size_t n) {
    recordLine();
    Path.push_back({});
    return Path.size() < DepthLimit && Base::start_object(n);
  }
  bool key(string_t &it) {
    if (!Path.back().Keys.insert(it).second)
      Faults.add(Document.File + ":" + std::to_string(Line),
                 "key \"" + it + "\" stands twice");
    Path.back().Key = it;
    return Base::key(it);
  }
  bool end_object() {
    Path.pop_back();
    return Base::end_object();
  }
  bool start_array(std::size_t n) {
    recordLine();
    Path.push_back({.IsArray = true});
    return Path.size() < DepthLimit && Base::start_array(n);
  }
  bool end_array() {
    Path.pop_back();
    return Base::end_array();
  }

private:
  static constexpr std::size_t DepthLimit = 16;
  struct Step {
    bool IsArray = false;
    std::string Key;
    std::size_t Index = 0;
    std::set<std::string> Keys;
  };
  bool recordLine() {
    if (!Path.empty() && Path.back().IsArray)
      Path.back().Key = std::to_string(Path.back().Index++);
    std::string pointer;
    for (const Step &it : Path)
      pointer += "/" + it.Key;
    Document.Lines[pointer] = Line;
    return true;
  }

  SettingsDocument &Document;
  const std::size_t &Line;
  Findings &Faults;
  std::vector<Step> Path;
};

} // namespace

SettingsDocument SettingsDocument::parse(const std::string &file,
                                         std::string_view text,
                                         Findings &findings) {
  SettingsDocument document{.File = file};
  std::size_t line = 1;
  LineRecordingReader reader(document, line, findings);
  const CountingIterator begin{text.data(), &line};
  const CountingIterator end{text.data() + text.size(), &line};
  if (!Json::sax_parse(begin, end, &reader))
    findings.add(file + ":" + std::to_string(line), "this is not proper JSON");
  else if (!document.Root.is_object())
    findings.add(file + ":1", "expected an object");
  return document;
}

std::string SettingsDocument::locationOf(const std::string &pointer) const {
  const auto it = Lines.find(pointer);
  const std::string line = it == Lines.end() ? "" : std::to_string(it->second);
  return File + ":" + line + ": " + (pointer.empty() ? "/" : pointer);
}

SettingsReader::SettingsReader(const SettingsDocument &document,
                               std::string pointer, Findings &findings)
    : Document(document), Pointer(std::move(pointer)), Faults(findings) {
  const Json::json_pointer at(Pointer);
  if (!Document.Root.contains(at) && !Pointer.empty())
    return;
  const Json &value = Pointer.empty() ? Document.Root : Document.Root.at(at);
  if (value.is_object())
    Object = &value;
  else
    Faults.add(Document.locationOf(Pointer), "expected an object");
}

bool SettingsReader::has(const std::string &key) const {
  return Object && Object->contains(key);
}

void SettingsReader::addFault(const std::string &key,
                              const std::string &message) {
  const std::string pointer = pointerOf(key);
  const bool exists = Document.Lines.contains(pointer);
  Faults.add(exists ? Document.locationOf(pointer)
                    : Document.locationOf(Pointer) +
                          (Pointer.empty() ? "" : "/") + key,
             message);
}

const Json *SettingsReader::find(const std::string &key) {
  ReadKeys.insert(key);
  return has(key) ? &Object->at(key) : nullptr;
}

std::string SettingsReader::text(const std::string &key,
                                 const std::string &fallback) {
  const Json *it = find(key);
  if (!it)
    return fallback;
  if (it->is_string())
    return it->get<std::string>();
  addFault(key, "expected a text");
  return fallback;
}

std::string SettingsReader::requiredText(const std::string &key) {
  const std::string result = text(key, "");
  if (result.empty() && (!has(key) || Object->at(key).is_string()))
    addFault(key, "a non-empty string is required");
  return result;
}

void SettingsReader::checkAddress(const std::string &pointer,
                                  const std::string &text) {
  if (!HostPort::parse(text))
    Faults.add(Document.locationOf(pointer),
               "expected \"ip:port\" with a numeric IPv4 address");
}

std::string SettingsReader::address(const std::string &key, bool required) {
  if (!has(key) && !required) {
    ReadKeys.insert(key);
    return "";
  }
  const std::string result = requiredText(key);
  if (!result.empty())
    checkAddress(pointerOf(key), result);
  return result;
}

std::uint64_t SettingsReader::integer(const std::string &key,
                                      std::uint64_t fallback, std::uint64_t min,
                                      std::uint64_t max) {
  const Json *it = find(key);
  if (!it)
    return fallback;
  if (it->is_number_unsigned() && it->get<std::uint64_t>() >= min &&
      it->get<std::uint64_t>() <= max)
    return it->get<std::uint64_t>();
  addFault(key, "expected an integer from " + std::to_string(min) + " to " +
                    std::to_string(max));
  return fallback;
}

double SettingsReader::real(const std::string &key, double fallback, double min,
                            double max) {
  const Json *it = find(key);
  if (!it)
    return fallback;
  if (it->is_number() && it->get<double>() >= min && it->get<double>() <= max)
    return it->get<double>();
  addFault(key, "expected a number from " + std::to_string(min) + " to " +
                    std::to_string(max));
  return fallback;
}

Duration SettingsReader::milliseconds(const std::string &key, Duration fallback,
                                      Duration max) {
  constexpr std::int64_t MicrosPerMilli = 1000;
  const auto limit = static_cast<std::uint64_t>(max.count() / MicrosPerMilli);
  const auto preset =
      static_cast<std::uint64_t>(fallback.count() / MicrosPerMilli);
  return std::chrono::milliseconds(integer(key, preset, 0, limit));
}

bool SettingsReader::flag(const std::string &key, bool fallback) {
  const Json *it = find(key);
  if (!it)
    return fallback;
  if (it->is_boolean())
    return it->get<bool>();
  addFault(key, "expected true or false");
  return fallback;
}

std::vector<std::string> SettingsReader::addresses(const std::string &key) {
  std::vector<std::string> result;
  const Json *it = find(key);
  if (!it)
    return result;
  if (!it->is_array()) {
    addFault(key, "expected an array of addresses");
    return result;
  }
  for (std::size_t i = 0; i < it->size(); ++i) {
    const std::string pointer = pointerOf(key) + "/" + std::to_string(i);
    const Json &element = (*it)[i];
    result.push_back(element.is_string() ? element.get<std::string>() : "");
    checkAddress(pointer, result.back());
  }
  return result;
}

std::vector<std::string> SettingsReader::strings(const std::string &key) {
  const Json *it = find(key);
  const auto isText = [](const Json &element) { return element.is_string(); };
  if (!it)
    return {};
  if (it->is_array() && std::ranges::all_of(*it, isText))
    return it->get<std::vector<std::string>>();
  addFault(key, "expected an array of texts");
  return {};
}

std::map<std::string, std::string>
SettingsReader::texts(const std::string &key) {
  std::map<std::string, std::string> result;
  const Json *it = find(key);
  if (!it)
    return result;
  if (!it->is_object()) {
    addFault(key, "expected an object with string values");
    return result;
  }
  for (const auto &[name, value] : it->items()) {
    if (value.is_string())
      result[name] = value.get<std::string>();
    else
      addFault(key, "expected texts only");
  }
  return result;
}

std::vector<SettingsReader> SettingsReader::objects(const std::string &key) {
  std::vector<SettingsReader> result;
  const Json *it = find(key);
  if (!it)
    return result;
  if (!it->is_array()) {
    addFault(key, "expected an array of objects");
    return result;
  }
  for (std::size_t i = 0; i < it->size(); ++i)
    result.emplace_back(Document, pointerOf(key) + "/" + std::to_string(i),
                        Faults);
  return result;
}

SettingsReader SettingsReader::object(const std::string &key) {
  ReadKeys.insert(key);
  return SettingsReader(Document, pointerOf(key), Faults);
}

void SettingsReader::reportUnreadKeys() {
  if (!Object)
    return;
  for (const auto &[key, value] : Object->items())
    if (!ReadKeys.contains(key))
      addFault(key, "unknown key");
}

} // namespace pimentofront
