#include "src/admin/drain_edit.h"

#include <sstream>

namespace comfreystand::admin {
namespace {

// Whether `line` is the rule "drain SCOPE TARGET" of `edit`.
bool IsMatchingDrainRule(std::string_view line, const DrainEdit& edit) {
  std::istringstream words(std::string(line.substr(0, line.find('#'))));
  std::string verb;
  std::string scope;
  std::string target;
  words >> verb >> scope >> target;
  return verb == "drain" && scope == edit.scope && target == edit.target;
}

}  // namespace

std::string AddDrain(std::string_view text, const DrainEdit& edit) {
  std::string result(text);
  if (!result.empty() && result.back() != '\n') {
    result += '\n';
  }
  return result + "drain " + edit.scope + ' ' + edit.target + " # asked by " +
         edit.requested_by + ": " + edit.reason + '\n';
}

std::optional<std::string> RemoveDrain(std::string_view text,
                                       const DrainEdit& edit) {
  std::string result;
  bool removed = false;
  while (!text.empty()) {
    const size_t end = text.find('\n');
    const size_t length = end == std::string_view::npos ? text.size() : end + 1;
    const std::string_view line = text.substr(0, length);
    text.remove_prefix(length);
    if (IsMatchingDrainRule(line, edit)) {
      removed = true;
    } else {
      result += line;
    }
  }
  if (!removed) {
    return std::nullopt;
  }
  return result;
}

}  // namespace comfreystand::admin
