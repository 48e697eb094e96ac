#ifndef COMFREYSTAND_UNITS_H_
#define COMFREYSTAND_UNITS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

// Numbers with mandatory units, as written in rule files and settings, and
// the search for the word that was probably meant.
namespace comfreystand {

// What a number with a unit measures. The value is kept in the base unit.
enum class Quantity : uint8_t {
  // Whole number without a unit.
  kCount,
  // Decimal number without a unit.
  kNumber,
  // Base unit: microsecond.
  kDuration,
  // Base unit: byte.
  kBytes,
  // Base unit: byte a second. Written in bits a second.
  kBitRate,
  // Base unit: one a second.
  kRate,
  // Base unit: the whole, so that 5% is 0.05.
  kPercent,
};

enum class QuantityFault : uint8_t {
  kNone,
  kNotANumber,
  kMissingUnit,
  kUnknownUnit,
};

struct ParsedQuantity {
  double value = 0;
  QuantityFault fault = QuantityFault::kNone;
  // Nearest unit when the unit is unknown, or empty.
  std::string_view suggestion;
};

// Parses an unsigned decimal number and its unit, for example "250ms".
ParsedQuantity ParseQuantity(Quantity quantity, std::string_view text);

// Prints a value in the largest unit that keeps it whole, or failing that the
// smallest unit. ParseQuantity() reads it back.
std::string FormatQuantity(Quantity quantity, double value);

// What to write for a quantity, with examples of its units.
std::string_view DescribeQuantity(Quantity quantity);

// Describes a fault, for example "has no unit".
std::string_view DescribeFault(QuantityFault fault);

// The candidate with the smallest edit distance to `word`, or an empty view
// when none is close.
std::string_view NearestWord(std::string_view word,
                             std::span<const std::string_view> candidates);

}  // namespace comfreystand

#endif  // COMFREYSTAND_UNITS_H_
