#ifndef COMFREYSTAND_SRC_ADMIN_DRAIN_EDIT_H_
#define COMFREYSTAND_SRC_ADMIN_DRAIN_EDIT_H_

#include <optional>
#include <string>
#include <string_view>

// Adds and removes drain rules in the text of a rule file.
namespace comfreystand::admin {

// A drain rule to add or remove.
struct DrainEdit {
  // "region", "domain", "site" or "backend".
  std::string scope;
  std::string target;
  std::string requested_by;
  std::string reason;
};

// Returns `text` with the drain rule appended.
std::string AddDrain(std::string_view text, const DrainEdit& edit);

// Returns `text` without the drain rule of the same scope and target, or
// nothing when there is no such rule.
std::optional<std::string> RemoveDrain(std::string_view text,
                                       const DrainEdit& edit);

}  // namespace comfreystand::admin

#endif  // COMFREYSTAND_SRC_ADMIN_DRAIN_EDIT_H_
