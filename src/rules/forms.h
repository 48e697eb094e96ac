#ifndef COMFREYSTAND_RULES_FORMS_H_
#define COMFREYSTAND_RULES_FORMS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "comfreystand/rules.h"
#include "comfreystand/units.h"
#include "src/rules/lines.h"

// The syntax of rule lines as a table of forms, and a matcher for lines.
namespace comfreystand::rules {

enum class RuleKind : uint8_t {
  kRegion,
  kDomain,
  kSite,
  kService,
  kPlace,
  kShare,
  kDrain,
  kCap,
  kLink,
  kClass,
};
constexpr size_t kRuleKinds = 10;

enum class FieldKind : uint8_t {
  // A name that the line declares.
  kNewName,
  // A name that another line declares, or the name of a backend server.
  kReference,
  // One of the words of DrainScopes().
  kScope,
  // A number with a unit of the field's quantity.
  kQuantity,
};

struct Field {
  // Word before the value. Empty for a value without one.
  std::string_view keyword;
  FieldKind kind = FieldKind::kReference;
  // Description of the value for error messages.
  std::string_view meaning;
  Quantity quantity = Quantity::kCount;
  double min = 0;
  double max = 0;
  bool optional = false;
};

// The syntax of one kind of rule line.
struct Form {
  // First word of the line.
  std::string_view keyword;
  RuleKind kind = RuleKind::kRegion;
  std::span<const Field> fields;
  // Example of a whole line, for error messages.
  std::string_view example;
};

// The value of one field of a line.
struct Value {
  Word word;
  // A quantity in its base unit, or the index of a word of DrainScopes().
  double number = 0;
  // False for an optional field that the line doesn't have.
  bool present = false;
  bool valid = false;
};

// A line matched against its form. `values` has one element per field.
struct Statement {
  const Form* form = nullptr;
  int line = 0;
  std::vector<Value> values;
  // False when an error was reported for the line.
  bool valid = true;
};

// Returns all forms, in the order of RuleKind.
std::span<const Form> Forms();

// Returns the words for drain scopes, in the order of DrainRule::Scope.
std::span<const std::string_view> DrainScopes();

// Matches a line with at least one word. Reports an error and returns nothing
// when its first word is not the keyword of any form.
std::optional<Statement> MatchLine(const Line& line,
                                   std::vector<RuleError>* errors);

}  // namespace comfreystand::rules

#endif  // COMFREYSTAND_RULES_FORMS_H_
