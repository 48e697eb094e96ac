#include "comfreystand/units.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <vector>

namespace comfreystand {
namespace {

struct Unit {
  std::string_view suffix;
  double scale = 1;
};

// Largest first: FormatQuantity() uses the first unit that divides evenly.
constexpr std::array<Unit, 6> kDurationUnits = {{{"d", 86'400e6},
                                                 {"h", 3'600e6},
                                                 {"min", 60e6},
                                                 {"s", 1e6},
                                                 {"ms", 1e3},
                                                 {"us", 1}}};
constexpr std::array<Unit, 6> kByteUnits = {{{"GB", 1e9},
                                             {"MB", 1e6},
                                             {"kB", 1e3},
                                             {"MiB", 1024.0 * 1024.0},
                                             {"KiB", 1024.0},
                                             {"B", 1}}};
constexpr std::array<Unit, 4> kBitRateUnits = {{{"Gbit/s", 1e9 / 8},
                                                {"Mbit/s", 1e6 / 8},
                                                {"kbit/s", 1e3 / 8},
                                                {"bit/s", 1.0 / 8}}};
constexpr std::array<Unit, 1> kRateUnits = {{{"/s", 1}}};
constexpr std::array<Unit, 1> kPercentUnits = {{{"%", 0.01}}};

struct QuantityTraits {
  std::span<const Unit> units;
  bool whole = false;
  std::string_view description;
};

// Indexed by Quantity.
const std::array<QuantityTraits, 7> kTraits = {{
    {{}, true, "a whole number"},
    {{}, false, "a number"},
    {kDurationUnits, false, "a duration such as 250ms, 10s or 5min"},
    {kByteUnits, false, "a size such as 64MB or 16KiB"},
    {kBitRateUnits, false, "a bit rate such as 300Mbit/s"},
    {kRateUnits, false, "a rate such as 10/s"},
    {kPercentUnits, false, "a percentage such as 5%"},
}};

const QuantityTraits& TraitsOf(Quantity quantity) {
  return kTraits[static_cast<size_t>(quantity)];
}

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// Returns the length of the leading "digits" or "digits.digits".
size_t NumberLength(std::string_view text, bool whole) {
  size_t length = 0;
  while (length < text.size() && IsDigit(text[length])) {
    ++length;
  }
  const bool has_fraction = !whole && length > 0 && length + 1 < text.size() &&
                            text[length] == '.' && IsDigit(text[length + 1]);
  if (!has_fraction) {
    return length;
  }
  ++length;
  while (length < text.size() && IsDigit(text[length])) {
    ++length;
  }
  return length;
}

ParsedQuantity MakeFault(QuantityFault fault,
                         std::string_view suggestion = {}) {
  return {0, fault, suggestion};
}

std::string_view NearestUnit(std::string_view suffix,
                             std::span<const Unit> units) {
  std::vector<std::string_view> names;
  for (const Unit& unit : units) {
    names.push_back(unit.suffix);
  }
  return NearestWord(suffix, names);
}

// Edit costs; a change of case costs less than another edit.
constexpr size_t kEditCost = 2;
constexpr size_t kCaseCost = 1;

char LowerCase(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

size_t SubstitutionCost(char a, char b) {
  if (a == b) {
    return 0;
  }
  return LowerCase(a) == LowerCase(b) ? kCaseCost : kEditCost;
}

size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<size_t> row(b.size() + 1);
  for (size_t j = 0; j <= b.size(); ++j) {
    row[j] = j * kEditCost;
  }
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i * kEditCost;
    for (size_t j = 1; j <= b.size(); ++j) {
      const size_t substituted =
          diagonal + SubstitutionCost(a[i - 1], b[j - 1]);
      diagonal = row[j];
      row[j] =
          std::min({row[j] + kEditCost, row[j - 1] + kEditCost, substituted});
    }
  }
  return row[b.size()];
}

std::string FormatNumber(double value) {
  // Enough for any double below 1e18 in its shortest form.
  std::array<char, 64> buffer{};
  const auto result =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value,
                    std::chars_format::fixed);
  return std::string(buffer.data(), result.ptr);
}

bool IsWhole(double value) {
  return std::abs(value - std::round(value)) < 1e-9;
}

}  // namespace

ParsedQuantity ParseQuantity(Quantity quantity, std::string_view text) {
  const QuantityTraits& traits = TraitsOf(quantity);
  const size_t length = NumberLength(text, traits.whole);
  if (length == 0) {
    return MakeFault(QuantityFault::kNotANumber);
  }
  ParsedQuantity parsed;
  const auto result = std::from_chars(text.data(), text.data() + length,
                                      parsed.value, std::chars_format::fixed);
  if (result.ec != std::errc()) {
    return MakeFault(QuantityFault::kNotANumber);
  }
  const std::string_view suffix = text.substr(length);
  if (traits.units.empty()) {
    return suffix.empty() ? parsed : MakeFault(QuantityFault::kNotANumber);
  }
  if (suffix.empty()) {
    return MakeFault(QuantityFault::kMissingUnit);
  }
  for (const Unit& unit : traits.units) {
    if (unit.suffix == suffix) {
      parsed.value *= unit.scale;
      return parsed;
    }
  }
  return MakeFault(QuantityFault::kUnknownUnit,
                   NearestUnit(suffix, traits.units));
}

std::string FormatQuantity(Quantity quantity, double value) {
  const QuantityTraits& traits = TraitsOf(quantity);
  if (traits.units.empty()) {
    return FormatNumber(value);
  }
  for (const Unit& unit : traits.units) {
    const double scaled = value / unit.scale;
    if (scaled >= 1 && IsWhole(scaled)) {
      return FormatNumber(std::round(scaled)) + std::string(unit.suffix);
    }
  }
  const Unit& smallest = traits.units.back();
  return FormatNumber(value / smallest.scale) + std::string(smallest.suffix);
}

std::string_view DescribeQuantity(Quantity quantity) {
  return TraitsOf(quantity).description;
}

std::string_view DescribeFault(QuantityFault fault) {
  constexpr std::array<std::string_view, 4> kDescriptions = {
      "is valid", "is not a number", "has no unit", "has an unknown unit"};
  return kDescriptions[static_cast<size_t>(fault)];
}

std::string_view NearestWord(std::string_view word,
                             std::span<const std::string_view> candidates) {
  // Longer words are never near a candidate and would be slow to compare.
  constexpr size_t kMaxComparedBytes = 128;
  if (word.size() > kMaxComparedBytes) {
    return {};
  }
  std::string_view nearest;
  size_t min_distance = kEditCost * (std::max<size_t>(1, word.size() / 2) + 1);
  for (std::string_view candidate : candidates) {
    const size_t distance = EditDistance(word, candidate);
    if (distance < min_distance) {
      min_distance = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

}  // namespace comfreystand
