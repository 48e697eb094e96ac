#include "src/cli/settings_checks.h"

#include <array>
#include <map>

namespace comfreystand::cli {
namespace {

using Conflicts = std::vector<SettingConflict>;

struct ListenSetting {
  std::string_view key;
  NumericAddress NodeSettings::*member;
};

constexpr std::array<ListenSetting, 4> kListeners = {
    {{"edge", &NodeSettings::edge_address},
     {"peer", &NodeSettings::peer_address},
     {"admin", &NodeSettings::admin_address},
     {"metrics", &NodeSettings::metrics_address}}};

// An address whose port the kernel chooses can't conflict with another one.
bool IsPortChosenByKernel(const NumericAddress& address) {
  return address.text.ends_with(":0");
}

bool ListensOnAllInterfaces(const NumericAddress& address) {
  return address.text.starts_with("0.0.0.0:") ||
         address.text.starts_with("[::]:");
}

void CheckListenAddresses(const NodeSettings& settings, Conflicts* conflicts) {
  std::map<std::string, std::string_view> keys;
  for (const ListenSetting& row : kListeners) {
    const NumericAddress& address = settings.*row.member;
    if (!address.IsSet() || IsPortChosenByKernel(address)) {
      continue;
    }
    const auto [entry, is_new] = keys.emplace(address.text, row.key);
    if (!is_new) {
      conflicts->push_back(
          {"listen", std::string(row.key),
           "has the same address as " + std::string(entry->second),
           "an address of its own"});
    }
  }
}

void CheckAdvertisedAddresses(const NodeSettings& settings,
                              Conflicts* conflicts) {
  struct Row {
    std::string_view key;
    NumericAddress NodeSettings::*listen;
    NumericAddress NodeSettings::*advertised;
  };
  constexpr std::array<Row, 2> kRows = {
      {{"edge", &NodeSettings::edge_address,
        &NodeSettings::advertised_edge_address},
       {"peer", &NodeSettings::peer_address,
        &NodeSettings::advertised_peer_address}}};
  for (const Row& row : kRows) {
    if (ListensOnAllInterfaces(settings.*row.listen) &&
        !(settings.*row.advertised).IsSet()) {
      conflicts->push_back(
          {"listen", std::string(row.key),
           "listens on all interfaces, so there is no address to advertise",
           "advertise-" + std::string(row.key) +
               " with the address to advertise"});
    }
  }
}

void CheckTls(const NodeSettings& settings, Conflicts* conflicts) {
  struct Row {
    std::string_view key;
    std::string NodeSettings::*member;
    std::string_view required_key;
    std::string NodeSettings::*required;
  };
  constexpr std::array<Row, 6> kRows = {
      {{"admin-cert", &NodeSettings::admin_certificate, "admin-key",
        &NodeSettings::admin_key},
       {"admin-key", &NodeSettings::admin_key, "admin-cert",
        &NodeSettings::admin_certificate},
       {"peer-cert", &NodeSettings::peer_certificate, "peer-key",
        &NodeSettings::peer_key},
       {"peer-key", &NodeSettings::peer_key, "peer-cert",
        &NodeSettings::peer_certificate},
       {"peer-cert", &NodeSettings::peer_certificate, "peer-ca",
        &NodeSettings::peer_ca},
       {"peer-ca", &NodeSettings::peer_ca, "peer-cert",
        &NodeSettings::peer_certificate}}};
  for (const Row& row : kRows) {
    if (!(settings.*row.member).empty() && (settings.*row.required).empty()) {
      conflicts->push_back(
          {"tls", std::string(row.key),
           "has no effect without " + std::string(row.required_key),
           "both or neither"});
    }
  }
}

void CheckTokens(const NodeSettings& settings, Conflicts* conflicts) {
  if (settings.admin_address.IsSet() && settings.admin_tokens.empty()) {
    conflicts->push_back({"listen", "admin",
                          "is an administration API that no token opens",
                          "at least one token.NAME in [admin]"});
  }
  std::map<std::string, std::string> names_by_hash;
  for (const AdminToken& token : settings.admin_tokens) {
    const auto [entry, is_new] =
        names_by_hash.emplace(token.sha256, token.name);
    if (!is_new) {
      conflicts->push_back({"admin", "token." + token.name,
                            "is the same token as that of " + entry->second,
                            "a token of its own for each holder"});
    }
  }
}

void CheckTtls(const NodeSettings& settings, Conflicts* conflicts) {
  if (settings.answer_ttl_in_change > settings.answer_ttl) {
    conflicts->push_back({"limits", "answer-ttl-in-change",
                          "is longer than answer-ttl", "at most answer-ttl"});
  }
}

constexpr std::array kChecks = {&CheckListenAddresses,
                                &CheckAdvertisedAddresses, &CheckTls,
                                &CheckTokens, &CheckTtls};

}  // namespace

std::vector<SettingConflict> FindConflicts(const NodeSettings& settings) {
  std::vector<SettingConflict> conflicts;
  for (const auto& check : kChecks) {
    check(settings, &conflicts);
  }
  return conflicts;
}

}  // namespace comfreystand::cli
