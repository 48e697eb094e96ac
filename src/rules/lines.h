#ifndef COMFREYSTAND_RULES_LINES_H_
#define COMFREYSTAND_RULES_LINES_H_

#include <string_view>
#include <vector>

#include "comfreystand/rules.h"

// Splits a rule file into lines, words and comments.
namespace comfreystand::rules {

struct Word {
  std::string_view text;
  int column = 0;
};

struct Line {
  int number = 0;
  std::vector<Word> words;
  // Text after the '#' of a comment.
  Word comment;
  bool has_comment = false;
  // Column after the last word.
  int end_column = 1;
};

// Splits a text into lines without their line ends.
std::vector<std::string_view> SplitLines(std::string_view text);

// Splits one line into words and a comment. Reports control characters and
// lines that are too long, and returns no words for such a line.
Line ReadLine(std::string_view text,
              int number,
              std::vector<RuleError>* errors);

// Reports an error when a rule has no comment "asked by NAME: why".
void CheckAskedBy(const Line& line, std::vector<RuleError>* errors);

}  // namespace comfreystand::rules

#endif  // COMFREYSTAND_RULES_LINES_H_
