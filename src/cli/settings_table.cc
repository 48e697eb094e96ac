#include "src/cli/settings_table.h"

#include <algorithm>
#include <array>

namespace comfreystand::cli {
namespace {

using S = NodeSettings;
constexpr Presence kOptional = Presence::kOptional;
constexpr Presence kRequired = Presence::kRequired;

// Durations are in microseconds, sizes in bytes.
constexpr double kMillisecond = 1e3;
constexpr double kSecond = 1e6;
constexpr double kMinute = 60 * kSecond;
constexpr double kHour = 60 * kMinute;
constexpr double kKilobyte = 1e3;
constexpr double kGigabyte = 1e9;
// Lowest port of an address. Port 0, which lets the kernel choose the port, is
// valid only for addresses to listen on.
constexpr double kAnyPort = 0;
constexpr double kFixedPort = 1;

// clang-format off
const std::array kSettings = std::to_array<Setting>({
    {"node", "id", &S::node_id, kRequired, 0, 65'535,
     "Number of the entry VM's place; a replacement VM keeps it."},
    {"node", "name", &S::node_name, kRequired, 0, 0,
     "Name of the entry VM's place, for logs and the status page."},
    {"node", "cluster", &S::cluster, kOptional, 0, 0,
     "Prefix of the keys in the platform's store; the same on every node."},
    {"node", "region", &S::region, kRequired, 0, 0,
     "Region of the entry VM, as in the rule file."},
    {"node", "domain", &S::domain, kRequired, 0, 0,
     "Failure domain of the entry VM, as in the rule file."},
    {"node", "site", &S::site, kOptional, 0, 0,
     "Site of the entry VM; when left out, the first site of its failure "
     "domain."},
    {"node", "block-table", &S::block_table, kOptional, 0, 0,
     "File with the client blocks and their nearness orders, read at the "
     "start. Without one every client is taken to be near this node."},

    {"listen", "edge", &S::edge_address, kRequired, kAnyPort, 0,
     "Where callers look up entry VMs and send requests."},
    {"listen", "peer", &S::peer_address, kRequired, kAnyPort, 0,
     "Where other nodes connect."},
    {"listen", "admin", &S::admin_address, kOptional, kAnyPort, 0,
     "Where the administration API and the status page are; off when left "
     "out."},
    {"listen", "metrics", &S::metrics_address, kOptional, kAnyPort, 0,
     "Where Prometheus reads metrics; off when left out."},
    {"listen", "advertise-edge", &S::advertised_edge_address, kOptional,
     kFixedPort, 0,
     "Address that look-up answers name; when left out, that of edge."},
    {"listen", "advertise-peer", &S::advertised_peer_address, kOptional,
     kFixedPort, 0,
     "Address that other nodes are told; when left out, that of peer."},

    {"platform", "store", &S::store_address, kRequired, kFixedPort, 0,
     "The platform's store."},
    {"platform", "store-timeout", &S::store_timeout, kOptional,
     10 * kMillisecond, kMinute,
     "Time after which a call to the store counts as lost."},
    {"platform", "vm-list-interval", &S::vm_list_interval, kOptional,
     100 * kMillisecond, 10 * kMinute,
     "Time between two reads of the VM list."},
    {"platform", "store-call-rate", &S::store_call_rate, kOptional, 0.1, 1'000,
     "Most calls to the store that this node makes."},

    {"peers", "seed", &S::seeds, kOptional, kFixedPort, 0,
     "Peer addresses to ask first, separated by commas or in several lines."},
    {"peers", "timeout", &S::peer_timeout, kOptional, 10 * kMillisecond,
     kMinute, "Time after which a call to another node counts as lost."},
    {"peers", "heartbeat-interval", &S::heartbeat_interval, kOptional,
     50 * kMillisecond, kMinute,
     "Time between two heartbeats within a failure domain."},

    {"tls", "admin-cert", &S::admin_certificate, kOptional, 0, 0,
     "File with the certificate chain of the administration API, in PEM; "
     "without it the API is plain HTTP."},
    {"tls", "admin-key", &S::admin_key, kOptional, 0, 0,
     "File with the private key for admin-cert, in PEM."},
    {"tls", "peer-cert", &S::peer_certificate, kOptional, 0, 0,
     "File with this node's certificate towards other nodes, in PEM."},
    {"tls", "peer-key", &S::peer_key, kOptional, 0, 0,
     "File with the private key for peer-cert, in PEM."},
    {"tls", "peer-ca", &S::peer_ca, kOptional, 0, 0,
     "File with the authority that signs the nodes' certificates, in PEM."},

    {"admin", "token.*", &S::admin_tokens, kOptional, 0, 0,
     "A bearer token of the administration API: token.NAME = sha256:HEX, "
     "where NAME is who holds it and HEX the SHA-256 of the token."},

    {"limits", "max-request-header", &S::max_request_header, kOptional,
     kKilobyte, 1e6, "Most bytes of a request's line and headers."},
    {"limits", "max-request-body", &S::max_request_body, kOptional,
     kKilobyte, kGigabyte, "Most bytes of a request's body."},
    {"limits", "max-answer-body", &S::max_answer_body, kOptional,
     kKilobyte, 16 * kGigabyte, "Most bytes of an answer's body."},
    {"limits", "max-caller-connections", &S::max_caller_connections, kOptional,
     1, 1e6, "Most connections of callers at once."},
    {"limits", "max-queued-requests", &S::max_queued_requests, kOptional, 1,
     1e6, "Most requests that wait for a backend server at once."},
    {"limits", "header-timeout", &S::header_timeout, kOptional,
     10 * kMillisecond, 5 * kMinute,
     "Time within which a caller has to send a request's line and headers."},
    {"limits", "idle-timeout", &S::idle_timeout, kOptional, kSecond, kHour,
     "Time after which an unused connection of a caller is closed."},
    {"limits", "progress-timeout", &S::progress_timeout, kOptional,
     10 * kMillisecond, 5 * kMinute,
     "Time without progress after which a connection counts as silent."},
    {"limits", "default-deadline", &S::default_deadline, kOptional,
     10 * kMillisecond, kHour,
     "Deadline of requests whose class and headers give none."},
    {"limits", "answer-ttl", &S::answer_ttl, kOptional, kSecond, kHour,
     "Time that callers may reuse a look-up answer."},
    {"limits", "answer-ttl-in-change", &S::answer_ttl_in_change, kOptional,
     kSecond, kHour,
     "The same while a change or a drain is under way."},
    {"limits", "drain-timeout", &S::drain_timeout, kOptional, kSecond, kHour,
     "Most time that a graceful stop waits for requests in flight."},
    {"limits", "retry-budget", &S::retry_budget, kOptional, 0, 1,
     "Most retries as a share of requests."},
    {"limits", "hedge-budget", &S::hedge_budget, kOptional, 0, 1,
     "Most hedged attempts as a share of requests."},
    {"limits", "probe-budget", &S::probe_budget, kOptional, 0, 1,
     "Most slot time of backend servers that probes may take."},
    {"limits", "connect-rate", &S::connect_rate, kOptional, 0.1, 100'000,
     "Most new connections to backend servers."},

    {"log", "level", &S::log_level, kOptional, 0, 0,
     "Least level of the lines written."},
    {"log", "format", &S::log_format, kOptional, 0, 0,
     "Form of a line: key=value pairs or a JSON object."},
});
// clang-format on

}  // namespace

std::span<const Setting> SettingsTable() {
  return kSettings;
}

bool MatchesKey(const Setting& setting, std::string_view key) {
  if (!setting.key.ends_with('*')) {
    return setting.key == key;
  }
  const std::string_view prefix = setting.key.substr(0, setting.key.size() - 1);
  return key.starts_with(prefix) && key.size() > prefix.size();
}

std::vector<std::string_view> SettingSections() {
  std::vector<std::string_view> sections;
  for (const Setting& setting : kSettings) {
    if (sections.empty() || sections.back() != setting.section) {
      sections.push_back(setting.section);
    }
  }
  return sections;
}

}  // namespace comfreystand::cli
