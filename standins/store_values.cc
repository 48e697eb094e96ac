#include "standins/store_values.h"

#include <nlohmann/json.hpp>

namespace comfreystand::standins {
namespace {

using nlohmann::json;

int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

const char* KindOf(const TrafficRoute& route) {
  if (route.is_upload) {
    return "upload";
  }
  return route.idempotent ? "idempotent" : "non_idempotent";
}

json EncodeOrganisation(const TrafficOrganisation& organisation) {
  const OrganisationQuota quota =
      organisation.quota.value_or(OrganisationQuota{});
  return {{"apiKeys", organisation.keys},
          {"priority", organisation.priority},
          // Zero would mean no limit.
          {"ratePerS", organisation.quota && quota.rate.value == 0
                           ? json(nullptr)
                           : json(quota.rate.value)},
          {"burstSize", quota.burst},
          {"allowedRegions", organisation.home_regions}};
}

json EncodeRoute(const TrafficRoute& route) {
  json split = json::array();
  for (const WeightedService& target : route.services) {
    split.push_back({{"service", target.service}, {"weight", target.weight}});
  }
  return {{"host", route.host},
          {"prefix", route.prefix},
          {"kind", KindOf(route)},
          {"public", route.is_public},
          {"timeoutMs", Millis(route.time_limit)},
          {"goalMs", Millis(route.goal)},
          {"priority", route.rank},
          {"trafficSplit", split},
          {"maxAttempts", route.max_attempts},
          {"sticky", route.sticky},
          {"allowedRegions", route.home_regions}};
}

json EncodeService(const TrafficService& service) {
  return {{"healthPath", "/health"},
          {"maxConns", service.max_connections},
          {"warmupS", std::chrono::duration<double>(service.cold_time).count()},
          {"coldPerS", service.cold_rate}};
}

}  // namespace

std::string EncodeConfig(const TrafficConfig& config) {
  json routes = json::object();
  for (const TrafficRoute& route : config.routes) {
    routes[route.name] = EncodeRoute(route);
  }
  json services = json::object();
  for (const TrafficService& service : config.services) {
    services[service.name] = EncodeService(service);
  }
  const json limits = {{"headerBytes", config.limits.header_bytes},
                       {"bodyBytes", config.limits.body_bytes},
                       {"headerMs", Millis(config.limits.header_timeout)},
                       {"idleMs", Millis(config.limits.idle_timeout)}};
  json document = {{"version", "r" + std::to_string(config.version.value)},
                   {"routes", std::move(routes)},
                   {"services", std::move(services)},
                   {"limits", limits}};
  if (config.requires_keys) {
    json organisations = json::object();
    for (const TrafficOrganisation& organisation : config.organisations) {
      organisations[organisation.name] = EncodeOrganisation(organisation);
    }
    document["tenants"] = std::move(organisations);
  }
  return document.dump();
}

std::string EncodeBackend(const BackendEntry& entry, int sequence) {
  const bool ready = entry.state == BackendEntry::State::kReady;
  const json document = {{"service", entry.service},
                         {"address", entry.address},
                         {"zone", entry.domain},
                         {"version", "v1"},
                         {"capacity", entry.slots},
                         {"state", ready ? "ready" : "draining"},
                         {"coldLeftMs", Millis(entry.remaining_cold_time)},
                         {"sequence", sequence},
                         {"born", entry.started_at_ms}};
  return document.dump();
}

}  // namespace comfreystand::standins
