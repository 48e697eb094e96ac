#include "src/rules/lines.h"

#include <string>

#include "comfreystand/limits.h"

namespace comfreystand::rules {
namespace {

constexpr std::string_view kAskedByPrefix = "asked by ";
constexpr std::string_view kAskedByExample =
    "a comment \"# asked by NAME: why\"";

bool IsBlank(char c) {
  return c == ' ' || c == '\t';
}

bool IsControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return (byte < 0x20 && c != '\t') || byte == 0x7f;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && IsBlank(text.front())) {
    text.remove_prefix(1);
  }
  while (!text.empty() && IsBlank(text.back())) {
    text.remove_suffix(1);
  }
  return text;
}

int ColumnOf(size_t offset) {
  return static_cast<int>(offset) + 1;
}

bool CheckLine(std::string_view text,
               int number,
               std::vector<RuleError>* errors) {
  if (text.size() > limits::kMaxRuleLineBytes) {
    errors->push_back(
        {number, ColumnOf(limits::kMaxRuleLineBytes), "the line is too long",
         "at most " + std::to_string(limits::kMaxRuleLineBytes) + " bytes",
         ""});
    return false;
  }
  for (size_t i = 0; i < text.size(); ++i) {
    if (IsControl(text[i])) {
      errors->push_back({number, ColumnOf(i), "control character in the line",
                         "printable text", ""});
      return false;
    }
  }
  return true;
}

void ReadWords(std::string_view text, Line* line) {
  size_t i = 0;
  while (i < text.size()) {
    if (IsBlank(text[i])) {
      ++i;
      continue;
    }
    size_t end = i;
    while (end < text.size() && !IsBlank(text[end])) {
      ++end;
    }
    line->words.push_back({text.substr(i, end - i), ColumnOf(i)});
    line->end_column = ColumnOf(end);
    i = end;
  }
}

}  // namespace

std::vector<std::string_view> SplitLines(std::string_view text) {
  std::vector<std::string_view> lines;
  while (!text.empty()) {
    const size_t end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    lines.push_back(line);
  }
  return lines;
}

Line ReadLine(std::string_view text,
              int number,
              std::vector<RuleError>* errors) {
  Line line;
  line.number = number;
  if (!CheckLine(text, number, errors)) {
    return line;
  }
  const size_t comment_start = text.find('#');
  if (comment_start != std::string_view::npos) {
    line.has_comment = true;
    line.comment = {text.substr(comment_start + 1), ColumnOf(comment_start)};
    text = text.substr(0, comment_start);
  }
  ReadWords(text, &line);
  return line;
}

void CheckAskedBy(const Line& line, std::vector<RuleError>* errors) {
  if (!line.has_comment) {
    errors->push_back({line.number, line.end_column,
                       "the rule does not say who asked for it",
                       std::string(kAskedByExample), ""});
    return;
  }
  const std::string_view comment = Trim(line.comment.text);
  if (!comment.starts_with(kAskedByPrefix)) {
    errors->push_back({line.number, line.comment.column,
                       "the comment does not say who asked for the rule",
                       std::string(kAskedByExample), ""});
    return;
  }
  const std::string_view name_and_reason =
      comment.substr(kAskedByPrefix.size());
  const size_t colon = name_and_reason.find(':');
  const bool is_complete = colon != std::string_view::npos &&
                           !Trim(name_and_reason.substr(0, colon)).empty() &&
                           !Trim(name_and_reason.substr(colon + 1)).empty();
  if (!is_complete) {
    errors->push_back({line.number, line.comment.column,
                       "the comment lacks a name or a reason",
                       std::string(kAskedByExample), ""});
  }
}

}  // namespace comfreystand::rules
