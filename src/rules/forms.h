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

// The grammar of rule lines as a table, and the matching of lines against it.
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
  // A name that another line declares, or a backend server's.
  kReference,
  // One of the words of DrainScopes().
  kScope,
  // A number with the unit of the field's quantity.
  kQuantity,
};

struct Field {
  // Word before the value; empty for a value that stands alone.
  std::string_view keyword;
  FieldKind kind = FieldKind::kReference;
  // What the value is, for messages.
  std::string_view meaning;
  Quantity quantity = Quantity::kCount;
  double min = 0;
  double max = 0;
  bool optional = false;
};

struct Form {
  std::string_view verb;
  RuleKind kind = RuleKind::kRegion;
  std::span<const Field> fields;
  // The whole line as an operator writes it.
  std::string_view example;
};

struct Value {
  Word word;
  double number = 0;
  bool present = false;
  bool valid = false;
};

// A line matched against its form; one value for each field.
struct Statement {
  const Form* form = nullptr;
  int line = 0;
  std::vector<Value> values;
  // False when an error of the line was reported.
  bool valid = true;
};

// All forms, in the order of RuleKind.
std::span<const Form> Forms();

// Words for the scopes of a drain, in the order of DrainRule::Scope.
std::span<const std::string_view> DrainScopes();

// Matches a line that has words. Returns nothing when its verb is unknown.
std::optional<Statement> MatchLine(const Line& line,
                                   std::vector<RuleError>* errors);

}  // namespace comfreystand::rules

#endif  // COMFREYSTAND_RULES_FORMS_H_
