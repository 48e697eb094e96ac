#ifndef COMFREYSTAND_ADMIN_DRAIN_EDIT_H_
#define COMFREYSTAND_ADMIN_DRAIN_EDIT_H_

#include <optional>
#include <string>
#include <string_view>

// Adds and removes drain rules in the text of a rule file.
namespace comfreystand::admin {

struct DrainEdit {
  // "region", "domain", "site" or "backend".
  std::string scope;
  std::string target;
  std::string requested_by;
  std::string reason;
};

// Appends a drain rule.
std::string AddDrain(std::string_view text, const DrainEdit& edit);

// Removes the drain rule of the same scope and target. Returns nothing when
// there is none.
std::optional<std::string> RemoveDrain(std::string_view text,
                                       const DrainEdit& edit);

}  // namespace comfreystand::admin

#endif  // COMFREYSTAND_ADMIN_DRAIN_EDIT_H_
