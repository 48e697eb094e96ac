#ifndef COMFREYSTAND_UNITS_H_
#define COMFREYSTAND_UNITS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

// Parses and formats numbers with mandatory units, as in rule files and
// settings, and finds the nearest known word for a misspelt one.
namespace comfreystand {

// Kind of a number. Values are stored in the base unit.
enum class Quantity : uint8_t {
  // Whole number without a unit.
  kCount,
  // Decimal number without a unit.
  kNumber,
  // Base unit: microsecond.
  kDuration,
  // Base unit: byte.
  kBytes,
  // Base unit: bytes per second. Written in bits per second.
  kBitRate,
  // Base unit: one per second.
  kRate,
  // Stored as a fraction, so that 5% is 0.05.
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

// Formats a value in the largest unit that makes it a whole number, or in the
// smallest unit if there is none. ParseQuantity() parses the result.
std::string FormatQuantity(Quantity quantity, double value);

// Describes the expected text of a quantity, with examples of its units.
std::string_view DescribeQuantity(Quantity quantity);

// Describes a fault, for example "has no unit".
std::string_view DescribeFault(QuantityFault fault);

// Returns the candidate with the smallest edit distance to `word`, or an empty
// view when none is close.
std::string_view NearestWord(std::string_view word,
                             std::span<const std::string_view> candidates);

}  // namespace comfreystand

#endif  // COMFREYSTAND_UNITS_H_
