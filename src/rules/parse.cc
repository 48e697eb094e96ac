#include <algorithm>
#include <string>
#include <tuple>

#include "comfreystand/limits.h"
#include "comfreystand/rules.h"
#include "src/rules/builder.h"
#include "src/rules/forms.h"
#include "src/rules/lines.h"

namespace comfreystand {
namespace {

std::vector<rules::Statement> MatchLines(std::string_view text,
                                         rules::Builder* builder,
                                         std::vector<RuleError>* errors) {
  std::vector<rules::Statement> statements;
  int number = 0;
  for (std::string_view line_text : rules::SplitLines(text)) {
    const rules::Line line = rules::ReadLine(line_text, ++number, errors);
    if (line.words.empty()) {
      continue;
    }
    std::optional<rules::Statement> statement = rules::MatchLine(line, errors);
    rules::CheckAskedBy(line, errors);
    if (statement.has_value()) {
      statements.push_back(*std::move(statement));
    } else {
      builder->MarkUnknownRule();
    }
  }
  return statements;
}

void SortByPosition(std::vector<RuleError>* errors) {
  std::stable_sort(errors->begin(), errors->end(),
                   [](const RuleError& a, const RuleError& b) {
                     return std::tie(a.line, a.column) <
                            std::tie(b.line, b.column);
                   });
}

}  // namespace

RuleParseResult ParseRules(std::string_view text) {
  RuleParseResult result;
  if (text.size() > limits::kMaxRuleFileBytes) {
    result.errors.push_back(
        {1, 1, "the file is too long",
         "at most " + std::to_string(limits::kMaxRuleFileBytes) + " bytes",
         ""});
    return result;
  }
  rules::Builder builder(&result.errors);
  const auto statements = MatchLines(text, &builder, &result.errors);
  for (const rules::Statement& statement : statements) {
    builder.Declare(statement);
  }
  for (const rules::Statement& statement : statements) {
    builder.Add(statement);
  }
  builder.Finish();
  if (result.errors.empty()) {
    result.rules = builder.TakeRules();
  }
  SortByPosition(&result.errors);
  return result;
}

}  // namespace comfreystand
