#include <ini.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <functional>
#include <set>
#include <utility>

#include "comfreystand/gateway.h"
#include "comfreystand/http_client.h"

namespace comfreystand::gateway {
namespace {

enum class Presence : uint8_t { kOptional, kRequired };

// Stores a value. Returns null, or a description of the valid values.
using Setter = const char* (*)(std::string_view value, GatewaySettings* out);

struct Setting {
  std::string_view section;
  std::string_view key;
  Presence presence;
  Setter set;
};

template <std::string GatewaySettings::*kMember>
const char* SetText(std::string_view value, GatewaySettings* out) {
  out->*kMember = std::string(value);
  return value.empty() ? "a name" : nullptr;
}

template <NumericAddress GatewaySettings::*kMember>
const char* SetAddress(std::string_view value, GatewaySettings* out) {
  std::string host;
  uint16_t port = 0;
  (out->*kMember).text = std::string(value);
  return http::ParseAddress(value, &host, &port)
             ? nullptr
             : "a numeric address and a port, 10.1.0.35:8144 for example";
}

// An address that may be left empty.
template <NumericAddress GatewaySettings::*kMember>
const char* SetOptionalAddress(std::string_view value, GatewaySettings* out) {
  return value.empty() ? nullptr : SetAddress<kMember>(value, out);
}

bool ParseNumber(std::string_view text, double* number) {
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, *number);
  return !text.empty() && result.ec == std::errc() && result.ptr == end &&
         std::isfinite(*number);
}

template <Duration GatewaySettings::*kMember>
const char* SetSeconds(std::string_view value, GatewaySettings* out) {
  constexpr double kMinSeconds = 0.1;
  constexpr double kMaxSeconds = 3'600;
  double seconds = 0;
  if (!ParseNumber(value, &seconds) || seconds < kMinSeconds ||
      seconds > kMaxSeconds) {
    return "a number of seconds from 0.1 to 3600";
  }
  out->*kMember = Duration(static_cast<int64_t>(seconds * 1e6));
  return nullptr;
}

const char* SetMaxDescriptors(std::string_view value, GatewaySettings* out) {
  double number = 0;
  if (!ParseNumber(value, &number) || number < 400 || number > 10'000'000) {
    return "a whole number from 400 to 10000000";
  }
  out->max_descriptors = static_cast<int>(number);
  return nullptr;
}

const char* SetCores(std::string_view value, GatewaySettings* out) {
  constexpr double kMaxCores = 4'096;
  if (!ParseNumber(value, &out->cores) || out->cores <= 0 ||
      out->cores > kMaxCores) {
    return "a number above 0, up to 4096";
  }
  return nullptr;
}

// A number of MiB; may be empty where the platform doesn't know it.
template <int GatewaySettings::*kMember>
const char* SetMebibytes(std::string_view value, GatewaySettings* out) {
  constexpr double kMaxMebibytes = 1 << 20;
  double number = 0;
  if (value.empty()) {
    return nullptr;
  }
  if (!ParseNumber(value, &number) || number < 1 || number > kMaxMebibytes) {
    return "a number of MiB from 1 to 1048576, or nothing";
  }
  out->*kMember = static_cast<int>(number);
  return nullptr;
}

const char* SetFraction(std::string_view value, Fraction* out) {
  if (!ParseNumber(value, &out->value) || out->value < 0 || out->value > 1) {
    return "a number from 0 to 1";
  }
  return nullptr;
}

const char* SetCpuShare(std::string_view value, GatewaySettings* out) {
  return SetFraction(value, &out->cpu_share);
}

const char* SetResendRatio(std::string_view value, GatewaySettings* out) {
  return SetFraction(value, &out->resend_ratio);
}

const char* SetResendExtra(std::string_view value, GatewaySettings* out) {
  if (!ParseNumber(value, &out->resend_extra) || out->resend_extra < 0) {
    return "a number from 0";
  }
  return nullptr;
}

// Addresses separated by commas; may be empty.
const char* SetSeeds(std::string_view value, GatewaySettings* out) {
  while (!value.empty()) {
    const std::string_view item = value.substr(0, value.find(','));
    value.remove_prefix(std::min(item.size() + 1, value.size()));
    std::string host;
    uint16_t port = 0;
    const size_t first = std::min(item.find_first_not_of(' '), item.size());
    const std::string text(item.substr(first));
    if (!http::ParseAddress(text, &host, &port)) {
      return "numeric addresses with ports, separated by commas";
    }
    out->seeds.push_back({text});
  }
  return nullptr;
}

const char* SetLogLevel(std::string_view value, GatewaySettings* out) {
  constexpr std::array<std::pair<std::string_view, LogLevel>, 4> kLevels = {
      {{"debug", LogLevel::kDebug},
       {"info", LogLevel::kInfo},
       {"warn", LogLevel::kWarn},
       {"error", LogLevel::kError}}};
  const auto* found =
      std::find_if(kLevels.begin(), kLevels.end(),
                   [value](const auto& level) { return level.first == value; });
  if (found == kLevels.end()) {
    return "debug, info, warn or error";
  }
  out->log.level = found->second;
  return nullptr;
}

const char* SetLogRate(std::string_view value, GatewaySettings* out) {
  constexpr double kMaxLinesPerSecond = 100'000;
  double* rate = &out->log.request_lines_per_second;
  if (!ParseNumber(value, rate) || *rate < 0 || *rate > kMaxLinesPerSecond) {
    return "a number of lines a second from 0 to 100000";
  }
  return nullptr;
}

const char* SetSuccessShare(std::string_view value, GatewaySettings* out) {
  return SetFraction(value, &out->log.success_share);
}

using S = GatewaySettings;
constexpr std::string_view kDomains = "domains";

constexpr std::array kSettings = std::to_array<Setting>({
    {"node", "name", Presence::kRequired, &SetText<&S::name>},
    {"node", "domain", Presence::kRequired, &SetText<&S::domain>},
    {"node", "region", Presence::kRequired, &SetText<&S::region>},
    {"listen", "traffic", Presence::kRequired,
     &SetAddress<&S::traffic_address>},
    {"listen", "readiness", Presence::kRequired,
     &SetAddress<&S::readiness_address>},
    {"listen", "directory", Presence::kRequired,
     &SetAddress<&S::directory_address>},
    {"listen", "metrics", Presence::kOptional,
     &SetOptionalAddress<&S::metrics_address>},
    {"listen", "peers", Presence::kOptional,
     &SetOptionalAddress<&S::peer_address>},
    {"listen", "quota", Presence::kOptional,
     &SetOptionalAddress<&S::quota_address>},
    {"peers", "seeds", Presence::kOptional, &SetSeeds},
    {"store", "address", Presence::kRequired, &SetAddress<&S::store_address>},
    {"limits", "max-descriptors", Presence::kOptional, &SetMaxDescriptors},
    {"limits", "cores", Presence::kOptional, &SetCores},
    {"limits", "cpu-share", Presence::kOptional, &SetCpuShare},
    {"limits", "memory", Presence::kOptional, &SetMebibytes<&S::memory_mib>},
    {"limits", "buffers", Presence::kOptional, &SetMebibytes<&S::buffers_mib>},
    {"bounds", "grace", Presence::kOptional, &SetSeconds<&S::grace>},
    {"bounds", "max-answer-ttl", Presence::kOptional,
     &SetSeconds<&S::max_answer_ttl>},
    {"bounds", "resend-ratio", Presence::kOptional, &SetResendRatio},
    {"bounds", "resend-extra", Presence::kOptional, &SetResendExtra},
    {"log", "level", Presence::kOptional, &SetLogLevel},
    {"log", "request-lines-per-second", Presence::kOptional, &SetLogRate},
    {"log", "success-share", Presence::kOptional, &SetSuccessShare},
});

class Parser {
 public:
  GatewaySettingsResult Parse(std::string_view text) {
    const std::string copy(text);
    const int line = ini_parse_string(copy.c_str(), &Parser::OnKeyValue, this);
    if (line > 0) {
      AddError(line, "", "", "the line is not a setting", "KEY = VALUE");
    }
    for (const Setting& setting : kSettings) {
      if (setting.presence == Presence::kRequired &&
          !seen_.contains({setting.section, setting.key})) {
        AddError(0, setting.section, setting.key, "the setting is missing", "");
      }
    }
    if (!settings_.domain.empty() &&
        !settings_.regions_of_domains.contains(settings_.domain)) {
      AddError(0, kDomains, settings_.domain,
               "the node's own failure domain is missing", "DOMAIN = REGION");
    }
    if (result_.errors.empty()) {
      result_.settings = std::move(settings_);
    }
    return std::move(result_);
  }

 private:
  static int OnKeyValue(void* self,
                        const char* section,
                        const char* key,
                        const char* value) {
    static_cast<Parser*>(self)->ProcessPair(section, key, value ? value : "");
    return 1;
  }

  void ProcessPair(std::string_view section,
                   std::string_view key,
                   std::string_view value) {
    if (section == kDomains) {
      settings_.regions_of_domains[std::string(key)] = std::string(value);
      return;
    }
    const auto* found = std::find_if(
        kSettings.begin(), kSettings.end(), [&](const Setting& setting) {
          return setting.section == section && setting.key == key;
        });
    if (found == kSettings.end()) {
      AddError(0, section, key, "the setting is unknown", "");
      return;
    }
    seen_.insert({found->section, found->key});
    if (const char* expected = found->set(value, &settings_)) {
      AddError(0, section, key, "\"" + std::string(value) + "\" is not valid",
               expected);
    }
  }

  void AddError(int line,
                std::string_view section,
                std::string_view key,
                std::string message,
                std::string expected) {
    SettingError error;
    error.line = line;
    error.section = std::string(section);
    error.key = std::string(key);
    error.message = std::move(message);
    error.expected = std::move(expected);
    result_.errors.push_back(std::move(error));
  }

  GatewaySettings settings_;
  GatewaySettingsResult result_;
  std::set<std::pair<std::string_view, std::string_view>> seen_;
};

}  // namespace

GatewaySettingsResult ParseGatewaySettings(std::string_view text) {
  return Parser().Parse(text);
}

}  // namespace comfreystand::gateway
