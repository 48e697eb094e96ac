#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "comfreystand/limits.h"
#include "comfreystand/units.h"
#include "src/cli/settings_table.h"

// Parses and formats the values of settings according to the type of their
// member.
namespace comfreystand::cli {
namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warn", "error"};
constexpr std::array<std::string_view, 2> kFormatNames = {"text", "json"};
constexpr std::string_view kHashPrefix = "sha256:";
constexpr size_t kSha256HexDigits = 64;

template <typename... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

std::string Quoted(std::string_view text) {
  return '"' + std::string(text) + '"';
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const size_t begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

bool IsNumericHost(const std::string& host) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  if (host.starts_with('[') && host.ends_with(']')) {
    const std::string inner = host.substr(1, host.size() - 2);
    return inet_pton(AF_INET6, inner.c_str(), bytes.data()) == 1;
  }
  return inet_pton(AF_INET, host.c_str(), bytes.data()) == 1;
}

bool IsNumericAddress(std::string_view text, double min_port) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string_view port_text = text.substr(colon + 1);
  uint16_t port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto result = std::from_chars(port_text.data(), end, port);
  return result.ec == std::errc() && result.ptr == end && port >= min_port &&
         IsNumericHost(std::string(text.substr(0, colon)));
}

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= 0x20 && c < 0x7f; });
}

bool IsSha256Hex(std::string_view text) {
  return text.size() == kSha256HexDigits &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

std::string JoinWords(std::span<const std::string_view> words) {
  std::string joined;
  for (std::string_view word : words) {
    joined += (joined.empty() ? "" : " or ") + std::string(word);
  }
  return joined;
}

// Visitor that parses a value into the member of a setting.
class ValueSetter {
 public:
  ValueSetter(const Setting& setting,
              std::string_view key,
              std::string_view value,
              NodeSettings* settings,
              ValueError* error)
      : setting_(setting),
        key_(key),
        value_(value),
        settings_(settings),
        error_(error) {}

  bool operator()(int NodeSettings::*member) {
    double number = 0;
    if (!ReadNumber(Quantity::kCount, &number)) {
      return false;
    }
    settings_->*member = static_cast<int>(number);
    return true;
  }

  bool operator()(Duration NodeSettings::*member) {
    double number = 0;
    if (!ReadNumber(Quantity::kDuration, &number)) {
      return false;
    }
    settings_->*member = Duration(std::llround(number));
    return true;
  }

  bool operator()(Bytes NodeSettings::*member) {
    double number = 0;
    if (!ReadNumber(Quantity::kBytes, &number)) {
      return false;
    }
    settings_->*member = Bytes{std::llround(number)};
    return true;
  }

  bool operator()(Fraction NodeSettings::*member) {
    return ReadNumber(Quantity::kPercent, &(settings_->*member).value);
  }

  bool operator()(PerSecond NodeSettings::*member) {
    return ReadNumber(Quantity::kRate, &(settings_->*member).value);
  }

  bool operator()(std::string NodeSettings::*member) {
    if (value_.empty() || !IsPrintable(value_)) {
      return Fail("is empty or not printable");
    }
    settings_->*member = value_;
    return true;
  }

  bool operator()(NumericAddress NodeSettings::*member) {
    if (!IsNumericAddress(value_, setting_.min)) {
      return Fail("is not a numeric address with a port");
    }
    (settings_->*member).text = value_;
    return true;
  }

  // Appends to the list, since the key may occur in several lines.
  bool operator()(std::vector<NumericAddress> NodeSettings::*member) {
    std::string_view rest = value_;
    while (true) {
      const size_t comma = rest.find(',');
      const std::string_view address = Trim(rest.substr(0, comma));
      if (!IsNumericAddress(address, setting_.min)) {
        return Fail("has an entry that is not a numeric address with a port");
      }
      (settings_->*member).push_back({std::string(address)});
      if (comma == std::string_view::npos) {
        return true;
      }
      rest.remove_prefix(comma + 1);
    }
  }

  bool operator()(std::vector<AdminToken> NodeSettings::*member) {
    const std::string_view name = key_.substr(setting_.key.size() - 1);
    if (name.size() > limits::kMaxNameBytes || !IsPrintable(name)) {
      return Fail("belongs to a name that is too long or not printable");
    }
    if (!value_.starts_with(kHashPrefix) ||
        !IsSha256Hex(value_.substr(kHashPrefix.size()))) {
      // The message must not contain the value, which may be a token written by
      // mistake.
      *error_ = {"the value is not a hash", DescribeSyntax(setting_), {}};
      return false;
    }
    (settings_->*member)
        .push_back({std::string(name),
                    std::string(value_.substr(kHashPrefix.size()))});
    return true;
  }

  bool operator()(LogLevel NodeSettings::*member) {
    return ReadChoice(kLevelNames, &(settings_->*member));
  }

  bool operator()(LogFormat NodeSettings::*member) {
    return ReadChoice(kFormatNames, &(settings_->*member));
  }

 private:
  bool ReadNumber(Quantity quantity, double* number) {
    const ParsedQuantity parsed = ParseQuantity(quantity, value_);
    if (parsed.fault != QuantityFault::kNone) {
      return Fail(DescribeFault(parsed.fault), parsed.suggestion);
    }
    if (parsed.value < setting_.min || parsed.value > setting_.max) {
      return Fail("is out of range");
    }
    *number = parsed.value;
    return true;
  }

  template <typename Enum>
  bool ReadChoice(std::span<const std::string_view> words, Enum* out) {
    const auto found = std::find(words.begin(), words.end(), value_);
    if (found == words.end()) {
      return Fail("is not a valid word", NearestWord(value_, words));
    }
    *out = static_cast<Enum>(found - words.begin());
    return true;
  }

  bool Fail(std::string_view message, std::string_view suggestion = {}) {
    *error_ = {Quoted(value_) + ' ' + std::string(message),
               DescribeSyntax(setting_), suggestion};
    return false;
  }

  const Setting& setting_;
  std::string_view key_;
  std::string_view value_;
  NodeSettings* settings_;
  ValueError* error_;
};

std::string NumberSyntax(const Setting& setting, Quantity quantity) {
  return std::string(DescribeQuantity(quantity)) + ", from " +
         FormatQuantity(quantity, setting.min) + " to " +
         FormatQuantity(quantity, setting.max);
}

}  // namespace

bool ApplySetting(const Setting& setting,
                  std::string_view key,
                  std::string_view value,
                  NodeSettings* settings,
                  ValueError* error) {
  return std::visit(ValueSetter(setting, key, value, settings, error),
                    setting.member);
}

std::string DescribeSyntax(const Setting& setting) {
  const auto number = [&setting](Quantity quantity) {
    return NumberSyntax(setting, quantity);
  };
  const std::string address = setting.min == 0
                                  ? "a numeric address such as 10.0.0.5:8080"
                                  : "a numeric address such as 10.0.0.5:8080, "
                                    "with a port other than 0";
  return std::visit(
      Overloaded{
          [&](int NodeSettings::*) { return number(Quantity::kCount); },
          [&](Duration NodeSettings::*) { return number(Quantity::kDuration); },
          [&](Bytes NodeSettings::*) { return number(Quantity::kBytes); },
          [&](Fraction NodeSettings::*) { return number(Quantity::kPercent); },
          [&](PerSecond NodeSettings::*) { return number(Quantity::kRate); },
          [](std::string NodeSettings::*) { return std::string("a text"); },
          [&](NumericAddress NodeSettings::*) { return address; },
          [&](std::vector<NumericAddress> NodeSettings::*) {
            return address + "; several are separated by commas";
          },
          [](std::vector<AdminToken> NodeSettings::*) {
            return std::string("sha256: and 64 lower-case hexadecimal digits");
          },
          [](LogLevel NodeSettings::*) { return JoinWords(kLevelNames); },
          [](LogFormat NodeSettings::*) { return JoinWords(kFormatNames); },
      },
      setting.member);
}

std::string FormatSetting(const Setting& setting,
                          const NodeSettings& settings) {
  return std::visit(
      Overloaded{
          [&](int NodeSettings::*member) {
            return std::to_string(settings.*member);
          },
          [&](Duration NodeSettings::*member) {
            return FormatQuantity(
                Quantity::kDuration,
                static_cast<double>((settings.*member).count()));
          },
          [&](Bytes NodeSettings::*member) {
            return FormatQuantity(
                Quantity::kBytes,
                static_cast<double>((settings.*member).value));
          },
          [&](Fraction NodeSettings::*member) {
            return FormatQuantity(Quantity::kPercent, (settings.*member).value);
          },
          [&](PerSecond NodeSettings::*member) {
            return FormatQuantity(Quantity::kRate, (settings.*member).value);
          },
          [&](std::string NodeSettings::*member) { return settings.*member; },
          [&](NumericAddress NodeSettings::*member) {
            return (settings.*member).text;
          },
          [](std::vector<NumericAddress> NodeSettings::*) {
            return std::string();
          },
          [](std::vector<AdminToken> NodeSettings::*) { return std::string(); },
          [&](LogLevel NodeSettings::*member) {
            return std::string(
                kLevelNames[static_cast<size_t>(settings.*member)]);
          },
          [&](LogFormat NodeSettings::*member) {
            return std::string(
                kFormatNames[static_cast<size_t>(settings.*member)]);
          },
      },
      setting.member);
}

}  // namespace comfreystand::cli
