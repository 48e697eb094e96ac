#ifndef COMFREYSTAND_CLI_SETTINGS_TABLE_H_
#define COMFREYSTAND_CLI_SETTINGS_TABLE_H_

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "comfreystand/settings.h"

// The table that the parser, the checks and the description of settings
// share.
namespace comfreystand::cli {

// Member that a setting is kept in. The type determines its unit and syntax.
using SettingMember = std::variant<int NodeSettings::*,
                                   Duration NodeSettings::*,
                                   Bytes NodeSettings::*,
                                   Fraction NodeSettings::*,
                                   PerSecond NodeSettings::*,
                                   std::string NodeSettings::*,
                                   NumericAddress NodeSettings::*,
                                   std::vector<NumericAddress> NodeSettings::*,
                                   std::vector<AdminToken> NodeSettings::*,
                                   LogLevel NodeSettings::*,
                                   LogFormat NodeSettings::*>;

enum class Presence : uint8_t { kOptional, kRequired };

struct Setting {
  std::string_view section;
  // Ends in '*' for a family of keys such as "token.*".
  std::string_view key;
  SettingMember member;
  Presence presence = Presence::kOptional;
  // Range of numbers in base units; for addresses, the least port.
  double min = 0;
  double max = 0;
  std::string_view doc;
};

std::span<const Setting> SettingsTable();

// Whether `key` is the setting's key or one of its family.
bool MatchesKey(const Setting& setting, std::string_view key);

// Sections in the order of the table, each once.
std::vector<std::string_view> SettingSections();

struct ValueFault {
  std::string message;
  std::string expected;
  std::string_view suggestion;
};

// Parses `value` into the setting's member. Returns false and describes the
// fault when it is not valid.
bool ApplySetting(const Setting& setting,
                  std::string_view key,
                  std::string_view value,
                  NodeSettings* settings,
                  ValueFault* fault);

// What to write for a setting, for example "a duration ... from 1ms to 1min".
std::string DescribeSyntax(const Setting& setting);

// The setting's value as it would be written, or empty.
std::string PrintSetting(const Setting& setting, const NodeSettings& settings);

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_CLI_SETTINGS_TABLE_H_
