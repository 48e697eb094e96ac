#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "comfreystand/rules.h"

// Line difference by Myers' algorithm, printed in unified format.
namespace comfreystand {
namespace {

constexpr size_t kContextLines = 3;
// Maximum length of the edit script. Beyond it, all lines are replaced. Time
// and memory grow with its square.
constexpr int kMaxEdits = 1'000;

// Lines including their line ends, so that a missing line end at the end of the
// text counts as a difference.
using Lines = std::vector<std::string_view>;

struct Edit {
  enum class Type : uint8_t { kKeep, kRemove, kAdd };
  Type type = Type::kKeep;
  std::string_view line;
};

Lines SplitKeepingEnds(std::string_view text) {
  Lines lines;
  while (!text.empty()) {
    const size_t end = text.find('\n');
    const size_t length = end == std::string_view::npos ? text.size() : end + 1;
    lines.push_back(text.substr(0, length));
    text.remove_prefix(length);
  }
  return lines;
}

// Finds the shortest edit script between two ranges of lines.
class MyersDiff {
 public:
  MyersDiff(const Lines& before, const Lines& after)
      : before_(before), after_(after) {}

  // Appends the edit script to `edits`.
  void AppendEdits(std::vector<Edit>* edits) {
    if (!Search()) {
      ReplaceAll(edits);
      return;
    }
    std::vector<Edit> reversed = Backtrack();
    edits->insert(edits->end(), reversed.rbegin(), reversed.rend());
  }

 private:
  // frontiers_[d][k + d] is the furthest x reached on diagonal k after d edits.
  using Frontier = std::vector<int>;

  static int FurthestX(const Frontier& frontier, int d, int k) {
    return std::abs(k) > d ? -1 : frontier[k + d];
  }

  // Returns the x at which the step onto diagonal k at depth d starts. Sets
  // `*down` when the step adds a line.
  int StepStart(int d, int k, bool* down) const {
    if (d == 0) {
      *down = false;
      return 0;
    }
    const Frontier& previous = frontiers_[d - 1];
    const int above = FurthestX(previous, d - 1, k + 1);
    const int left = FurthestX(previous, d - 1, k - 1);
    *down = k == -d || (k != d && left < above);
    return *down ? above : left + 1;
  }

  bool Search() {
    const int n = static_cast<int>(before_.size());
    const int m = static_cast<int>(after_.size());
    for (int d = 0; d <= std::min(n + m, kMaxEdits); ++d) {
      Frontier frontier(2 * d + 1, -1);
      for (int k = -d; k <= d; k += 2) {
        bool down = false;
        int x = StepStart(d, k, &down);
        while (x < n && x - k < m && x - k >= 0 &&
               before_[x] == after_[x - k]) {
          ++x;
        }
        frontier[k + d] = x;
        if (x >= n && x - k >= m) {
          frontiers_.push_back(std::move(frontier));
          last_diagonal_ = k;
          return true;
        }
      }
      frontiers_.push_back(std::move(frontier));
    }
    return false;
  }

  std::vector<Edit> Backtrack() const {
    std::vector<Edit> reversed;
    int x = static_cast<int>(before_.size());
    int k = last_diagonal_;
    for (int d = static_cast<int>(frontiers_.size()) - 1; d >= 0; --d) {
      bool down = false;
      const int start = StepStart(d, k, &down);
      for (; x > start; --x) {
        reversed.push_back({Edit::Type::kKeep, before_[x - 1]});
      }
      if (d == 0) {
        break;
      }
      if (down) {
        reversed.push_back({Edit::Type::kAdd, after_[x - k - 1]});
        ++k;
      } else {
        reversed.push_back({Edit::Type::kRemove, before_[x - 1]});
        --x;
        --k;
      }
    }
    return reversed;
  }

  void ReplaceAll(std::vector<Edit>* edits) const {
    for (std::string_view line : before_) {
      edits->push_back({Edit::Type::kRemove, line});
    }
    for (std::string_view line : after_) {
      edits->push_back({Edit::Type::kAdd, line});
    }
  }

  const Lines& before_;
  const Lines& after_;
  std::vector<Frontier> frontiers_;
  int last_diagonal_ = 0;
};

std::vector<Edit> EditScript(Lines before, Lines after) {
  std::vector<Edit> edits;
  size_t common_prefix = 0;
  while (common_prefix < before.size() && common_prefix < after.size() &&
         before[common_prefix] == after[common_prefix]) {
    edits.push_back({Edit::Type::kKeep, before[common_prefix]});
    ++common_prefix;
  }
  before.erase(before.begin(),
               before.begin() + static_cast<long>(common_prefix));
  after.erase(after.begin(), after.begin() + static_cast<long>(common_prefix));
  Lines common_suffix;
  while (!before.empty() && !after.empty() && before.back() == after.back()) {
    common_suffix.push_back(before.back());
    before.pop_back();
    after.pop_back();
  }
  MyersDiff(before, after).AppendEdits(&edits);
  for (auto line = common_suffix.rbegin(); line != common_suffix.rend();
       ++line) {
    edits.push_back({Edit::Type::kKeep, *line});
  }
  return edits;
}

// Prints the hunks of an edit script.
class HunkPrinter {
 public:
  explicit HunkPrinter(const std::vector<Edit>& edits) : edits_(edits) {}

  std::string Print() {
    size_t position = 0;
    while (position < edits_.size()) {
      const size_t change = NextChange(position);
      if (change == edits_.size()) {
        break;
      }
      const size_t begin = change - std::min(kContextLines, change - position);
      const size_t end = HunkEnd(change);
      SkipUnchanged(position, begin);
      PrintHunk(begin, end);
      position = end;
    }
    return out_;
  }

 private:
  size_t NextChange(size_t from) const {
    while (from < edits_.size() && edits_[from].type == Edit::Type::kKeep) {
      ++from;
    }
    return from;
  }

  // Returns the end (exclusive) of the hunk with the change at `change`.
  size_t HunkEnd(size_t change) const {
    size_t end = change;
    while (true) {
      while (end < edits_.size() && edits_[end].type != Edit::Type::kKeep) {
        ++end;
      }
      const size_t next = NextChange(end);
      if (next == edits_.size() || next - end > 2 * kContextLines) {
        return std::min(end + kContextLines, edits_.size());
      }
      end = next;
    }
  }

  void SkipUnchanged(size_t begin, size_t end) {
    before_line_ += end - begin;
    after_line_ += end - begin;
  }

  void PrintHunk(size_t begin, size_t end) {
    size_t removed = 0;
    size_t added = 0;
    std::string body;
    for (size_t i = begin; i < end; ++i) {
      removed += edits_[i].type != Edit::Type::kAdd ? 1 : 0;
      added += edits_[i].type != Edit::Type::kRemove ? 1 : 0;
      PrintLine(edits_[i], &body);
    }
    out_ += "@@ -" + Range(before_line_, removed) + " +" +
            Range(after_line_, added) + " @@\n" + body;
    before_line_ += removed;
    after_line_ += added;
  }

  // The unified format identifies an empty range by the line before it.
  static std::string Range(size_t first, size_t count) {
    return std::to_string(count == 0 ? first - 1 : first) + ',' +
           std::to_string(count);
  }

  static void PrintLine(const Edit& edit, std::string* body) {
    constexpr std::string_view kLinePrefixes = " -+";
    *body += kLinePrefixes[static_cast<size_t>(edit.type)];
    *body += edit.line;
    if (edit.line.back() != '\n') {
      *body += "\n\\ No newline at end of file\n";
    }
  }

  const std::vector<Edit>& edits_;
  std::string out_;
  size_t before_line_ = 1;
  size_t after_line_ = 1;
};

}  // namespace

std::string DiffRules(std::string_view before, std::string_view after) {
  if (before == after) {
    return "";
  }
  const std::vector<Edit> edits =
      EditScript(SplitKeepingEnds(before), SplitKeepingEnds(after));
  return "--- before\n+++ after\n" + HunkPrinter(edits).Print();
}

}  // namespace comfreystand
