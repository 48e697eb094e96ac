#ifndef COMFREYSTAND_CLI_SETTINGS_TABLE_H_
#define COMFREYSTAND_CLI_SETTINGS_TABLE_H_

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "comfreystand/settings.h"

// The settings table, used for parsing, checking and describing settings.
namespace comfreystand::cli {

// Member that stores the value of a setting. Its type determines unit and
// syntax.
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
  // Ends in '*' when it stands for all keys with a prefix, such as "token.*".
  std::string_view key;
  SettingMember member;
  Presence presence = Presence::kOptional;
  // Range of numbers in base units. For addresses, `min` is the lowest port.
  double min = 0;
  double max = 0;
  std::string_view doc;
};

std::span<const Setting> SettingsTable();

// Whether `key` equals the setting's key or has its prefix.
bool MatchesKey(const Setting& setting, std::string_view key);

// Sections in the order of the table, each once.
std::vector<std::string_view> SettingSections();

struct ValueError {
  std::string message;
  std::string expected;
  std::string_view suggestion;
};

// Parses `value` into the setting's member. Returns false and sets `error` when
// it is not valid.
bool ApplySetting(const Setting& setting,
                  std::string_view key,
                  std::string_view value,
                  NodeSettings* settings,
                  ValueError* error);

// The valid syntax of a setting, for example "a duration ... from 1ms to 1min".
std::string DescribeSyntax(const Setting& setting);

// The value of the setting as written in a settings file. Empty for lists and
// for a text or address that is not set.
std::string FormatSetting(const Setting& setting, const NodeSettings& settings);

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_CLI_SETTINGS_TABLE_H_
