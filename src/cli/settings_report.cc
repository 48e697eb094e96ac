#include "src/cli/settings_report.h"

#include <ostream>

namespace comfreystand::cli {

void PrintSettingErrors(const std::string& path,
                        const std::vector<SettingError>& errors,
                        std::ostream& out) {
  for (const SettingError& error : errors) {
    out << path << ':' << error.line << ": ";
    if (!error.section.empty()) {
      out << '[' << error.section << "] ";
    }
    if (!error.key.empty()) {
      out << error.key << ": ";
    }
    out << error.message << "; expected " << error.expected;
    if (!error.suggestion.empty()) {
      out << "; did you mean \"" << error.suggestion << "\"?";
    }
    out << '\n';
  }
}

}  // namespace comfreystand::cli
