#include <ini.h>

#include <algorithm>
#include <cstring>
#include <map>
#include <set>

#include "comfreystand/settings.h"
#include "comfreystand/units.h"
#include "src/cli/settings_checks.h"
#include "src/cli/settings_table.h"

namespace comfreystand {
namespace {

using cli::Setting;

// Longest line that inih does not split.
constexpr size_t kMaxLineBytes = 197;

std::string Quoted(std::string_view text) {
  return '"' + std::string(text) + '"';
}

// Parses settings with inih. inih reports neither the line of a pair nor all
// invalid lines, so this class counts and checks the lines as inih reads them.
class Parser {
 public:
  explicit Parser(std::string_view text) : rest_(text) {}

  SettingsResult Run() {
    ini_parse_stream(&Parser::NextLine, this, &Parser::OnIniPair, this);
    CheckPairWasFound();
    CheckRequiredKeys();
    CheckConflicts();
    std::stable_sort(result_.errors.begin(), result_.errors.end(),
                     [](const SettingError& a, const SettingError& b) {
                       return a.line < b.line;
                     });
    if (result_.errors.empty()) {
      result_.settings = std::move(settings_);
    }
    return std::move(result_);
  }

 private:
  // Reads the next line of the text with the interface of fgets().
  static char* NextLine(char* buffer, int size, void* stream) {
    return static_cast<Parser*>(stream)->ReadLine(buffer,
                                                  static_cast<size_t>(size));
  }

  static int OnIniPair(void* user,
                       const char* section,
                       const char* name,
                       const char* value) {
    static_cast<Parser*>(user)->HandlePair(section, name,
                                           value == nullptr ? "" : value);
    return 1;
  }

  char* ReadLine(char* buffer, size_t size) {
    CheckPairWasFound();
    if (rest_.empty()) {
      return nullptr;
    }
    const size_t end = rest_.find('\n');
    std::string_view line = rest_.substr(0, end);
    rest_.remove_prefix(end == std::string_view::npos ? rest_.size() : end + 1);
    ++line_;
    if (line.size() > std::min(kMaxLineBytes, size - 3)) {
      AddError("", "", "the line is too long",
               "at most " + std::to_string(kMaxLineBytes) + " bytes", "");
      line = "";
    } else if (line.find('\0') != std::string_view::npos) {
      AddError("", "", "the line has a zero byte", "printable text", "");
      line = "";
    }
    ClassifyLine(line);
    std::memcpy(buffer, line.data(), line.size());
    buffer[line.size()] = '\n';
    buffer[line.size() + 1] = '\0';
    return buffer;
  }

  // Records whether inih should report a key-value pair for the line.
  void ClassifyLine(std::string_view line) {
    const size_t begin = line.find_first_not_of(" \t\r");
    if (begin == std::string_view::npos || line[begin] == ';' ||
        line[begin] == '#') {
      return;
    }
    if (line[begin] != '[') {
      expects_pair_ = true;
      return;
    }
    const size_t end = line.find(']', begin);
    if (end == std::string_view::npos) {
      AddError("", "", "the section name has no end bracket",
               "a line such as [node]", "");
      return;
    }
    HandleSection(line.substr(begin + 1, end - begin - 1));
  }

  void HandleSection(std::string_view section) {
    const auto sections = cli::SettingSections();
    if (std::find(sections.begin(), sections.end(), section) ==
        sections.end()) {
      AddError(section, "", "unknown section " + Quoted(section),
               "a section of the settings table",
               NearestWord(section, sections));
      unknown_sections_.emplace(section);
      return;
    }
    section_lines_.emplace(section, line_);
  }

  // Reports an error if inih found no key-value pair in a line that should have
  // one.
  void CheckPairWasFound() {
    if (expects_pair_) {
      AddError("", "", "the line is neither a section nor a setting",
               "a line such as key = value", "");
    }
    expects_pair_ = false;
  }

  void HandlePair(const std::string& section,
                  const std::string& key,
                  const std::string& value) {
    expects_pair_ = false;
    if (unknown_sections_.contains(section)) {
      return;
    }
    const Setting* setting = FindSetting(section, key);
    if (setting == nullptr) {
      AddKeyError(section, key);
      return;
    }
    const auto [entry, is_new] = key_lines_.emplace(section + '.' + key, line_);
    if (!is_new && !IsList(*setting)) {
      AddError(section, key,
               "is already set in line " + std::to_string(entry->second),
               "one line only", "");
      return;
    }
    cli::ValueError error;
    if (!cli::ApplySetting(*setting, key, value, &settings_, &error)) {
      AddError(section, key, error.message, error.expected, error.suggestion);
    }
  }

  static const Setting* FindSetting(std::string_view section,
                                    std::string_view key) {
    for (const Setting& setting : cli::SettingsTable()) {
      if (setting.section == section && cli::MatchesKey(setting, key)) {
        return &setting;
      }
    }
    return nullptr;
  }

  static bool IsList(const Setting& setting) {
    return std::holds_alternative<std::vector<NumericAddress> NodeSettings::*>(
        setting.member);
  }

  // Reports a key that is unknown or before the first section.
  void AddKeyError(std::string_view section, std::string_view key) {
    std::vector<std::string_view> keys;
    for (const Setting& setting : cli::SettingsTable()) {
      if (setting.section == section) {
        keys.push_back(setting.key);
      }
    }
    if (section.empty()) {
      AddError("", key, "is before the first section", "[node] first", "");
      return;
    }
    AddError(section, key, "unknown key " + Quoted(key),
             "a key of [" + std::string(section) + "]", NearestWord(key, keys));
  }

  void CheckRequiredKeys() {
    for (const Setting& setting : cli::SettingsTable()) {
      const std::string section(setting.section);
      if (setting.presence == cli::Presence::kRequired &&
          !key_lines_.contains(section + '.' + std::string(setting.key))) {
        const auto found = section_lines_.find(section);
        result_.errors.push_back(
            {found == section_lines_.end() ? std::max(line_, 1) : found->second,
             section, std::string(setting.key), "is missing",
             cli::DescribeSyntax(setting), ""});
      }
    }
  }

  void CheckConflicts() {
    for (cli::SettingConflict& conflict : cli::FindConflicts(settings_)) {
      const auto found = key_lines_.find(conflict.section + '.' + conflict.key);
      result_.errors.push_back(
          {found == key_lines_.end() ? line_ : found->second,
           std::move(conflict.section), std::move(conflict.key),
           std::move(conflict.message), std::move(conflict.expected), ""});
    }
  }

  void AddError(std::string_view section,
                std::string_view key,
                std::string message,
                std::string expected,
                std::string_view suggestion) {
    result_.errors.push_back({line_, std::string(section), std::string(key),
                              std::move(message), std::move(expected),
                              std::string(suggestion)});
  }

  std::string_view rest_;
  int line_ = 0;
  bool expects_pair_ = false;
  NodeSettings settings_;
  SettingsResult result_;
  // Line of the first occurrence of each key, by "section.key".
  std::map<std::string, int> key_lines_;
  std::map<std::string, int, std::less<>> section_lines_;
  std::set<std::string, std::less<>> unknown_sections_;
};

}  // namespace

SettingsResult ParseSettings(std::string_view text) {
  return Parser(text).Run();
}

std::string DescribeSettings() {
  std::string out =
      "# Settings\n\n"
      "Written by `comfreystand settings describe`; each row is one entry of "
      "the settings table. Numbers need their unit. Check a file with "
      "`comfreystand settings check FILE`.\n";
  const NodeSettings defaults;
  std::string_view section;
  for (const Setting& setting : cli::SettingsTable()) {
    if (section != setting.section) {
      section = setting.section;
      out += "\n## [" + std::string(section) +
             "]\n\n| key | value | default | meaning |\n|---|---|---|---|\n";
    }
    const std::string value = cli::FormatSetting(setting, defaults);
    const bool required = setting.presence == cli::Presence::kRequired;
    const std::string printed = value.empty() ? "none" : '`' + value + '`';
    out += "| `" + std::string(setting.key) + "` | " +
           cli::DescribeSyntax(setting) + " | " +
           (required ? "required" : printed) + " | " +
           std::string(setting.doc) + " |\n";
  }
  return out;
}

}  // namespace comfreystand
