#ifndef COMFREYSTAND_SETTINGS_H_
#define COMFREYSTAND_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/limits.h"
#include "comfreystand/log.h"
#include "comfreystand/token.h"

// Settings of one node process, read from an INI file.
namespace comfreystand {

// "a.b.c.d:port" or "[v6]:port"; empty when not set.
struct NumericAddress {
  auto operator<=>(const NumericAddress&) const = default;
  bool IsSet() const { return !text.empty(); }
  std::string text;
};

enum class LogFormat : uint8_t { kText, kJson };

// Format, level and rate limits of the log.
struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  LogFormat format = LogFormat::kText;
  // Rate limit of the lines about single requests. Half of it is reserved for
  // failed requests.
  double request_lines_per_second = 200;
  // Share of the successful requests that is logged even if `level` excludes
  // them.
  Fraction success_share{0};
};

// The settings table in src/cli documents each field; docs/SETTINGS.md is
// generated from it.
struct NodeSettings {
  // [node]
  int node_id = 0;
  std::string node_name;
  std::string cluster = "comfreystand";
  std::string region;
  std::string domain;
  std::string site;
  std::string block_table;

  // [listen]
  NumericAddress edge_address;
  NumericAddress peer_address;
  NumericAddress admin_address;
  NumericAddress metrics_address;
  NumericAddress advertised_edge_address;
  NumericAddress advertised_peer_address;

  // [platform]
  NumericAddress store_address;
  Duration store_timeout = limits::kStoreCallTimeout;
  Duration vm_list_interval = std::chrono::seconds(1);
  PerSecond store_call_rate{5};

  // [peers]
  std::vector<NumericAddress> seeds;
  Duration peer_timeout = limits::kPeerCallTimeout;
  Duration heartbeat_interval = std::chrono::seconds(1);

  // [tls]
  std::string admin_certificate;
  std::string admin_key;
  std::string peer_certificate;
  std::string peer_key;
  std::string peer_ca;

  // [admin]
  std::vector<AdminToken> admin_tokens;

  // [limits]
  Bytes max_request_header{limits::kMaxRequestHeaderBytes};
  Bytes max_request_body{limits::kMaxRequestBodyBytes};
  Bytes max_answer_body{limits::kMaxAnswerBodyBytes};
  int max_caller_connections = 10'000;
  int max_queued_requests = 4'096;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
  Duration progress_timeout = std::chrono::seconds(2);
  Duration default_deadline = std::chrono::seconds(5);
  Duration answer_ttl = std::chrono::seconds(30);
  Duration answer_ttl_in_change = std::chrono::seconds(5);
  Duration drain_timeout = std::chrono::seconds(30);
  Fraction retry_budget{0.10};
  Fraction hedge_budget{0.05};
  Fraction probe_budget{0.02};
  PerSecond connect_rate{50};

  // [log]
  LogLevel log_level = LogLevel::kInfo;
  LogFormat log_format = LogFormat::kText;
};

// One error in a settings file. The line of a missing key is that of its
// section, or the end of the file if the section is missing too.
struct SettingError {
  int line = 0;
  std::string section;
  std::string key;
  std::string message;
  std::string expected;
  // Valid word that is closest in spelling, or empty.
  std::string suggestion;
};

struct SettingsResult {
  // Set only when there are no errors.
  std::optional<NodeSettings> settings;
  std::vector<SettingError> errors;
};

// Parses and checks a complete settings file. Reports all errors, not just the
// first.
SettingsResult ParseSettings(std::string_view text);

// Describes every setting with its unit, range and default, in Markdown.
std::string DescribeSettings();

}  // namespace comfreystand

#endif  // COMFREYSTAND_SETTINGS_H_
