#ifndef COMFREYSTAND_CLI_SETTINGS_CHECKS_H_
#define COMFREYSTAND_CLI_SETTINGS_CHECKS_H_

#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/settings.h"

// Checks for combinations of settings that are not valid.
namespace comfreystand::cli {

// A conflict between settings, reported at the line of `key`.
struct SettingConflict {
  std::string section;
  std::string key;
  std::string message;
  std::string expected;
};

// Returns the conflicts in settings whose single values are valid.
std::vector<SettingConflict> FindConflicts(const NodeSettings& settings);

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_CLI_SETTINGS_CHECKS_H_
