#include <array>
#include <string>

#include "bench/region_run.h"

namespace comfreystand::bench {
namespace {

using std::chrono::milliseconds;

constexpr uint16_t kRegions = 3;
constexpr uint16_t kServices = 2;

struct ServiceSize {
  const char* name;
  int backends;
};

RuleSet Deployment(const std::array<const char*, 3>& regions,
                   const std::array<ServiceSize, kServices>& services,
                   Bytes link) {
  constexpr uint16_t kDomains = 6;
  RuleSet rules;
  for (uint16_t region = 0; region < kRegions; ++region) {
    rules.regions.push_back({regions[region]});
    for (uint16_t i = 0; i < 2; ++i) {
      // Seven entry VMs: the first failure domain has two.
      const int entry_vms = rules.domains.empty() ? 2 : 1;
      rules.domains.push_back(
          {std::string(regions[region]) + std::to_string(i + 1),
           RegionId(region), entry_vms});
    }
    for (uint16_t other = 0; other < region; ++other) {
      rules.links.push_back({RegionId(other), RegionId(region), link});
    }
  }
  for (uint16_t i = 0; i < kServices; ++i) {
    ServiceRule service;
    service.name = services[i].name;
    service.slots_per_backend = Slots{3};
    rules.services.push_back(service);
    for (uint16_t domain = 0; domain < kDomains; ++domain) {
      const int backends = services[i].backends / kDomains +
                           (domain < services[i].backends % kDomains ? 1 : 0);
      rules.placements.push_back({ServiceId(i), DomainId(domain), backends});
    }
  }
  return rules;
}

}  // namespace

RegionScenario FloatKeepersScenario() {
  RegionScenario scenario;
  scenario.rules = Deployment({"western", "central", "southern"},
                              {{{"bay-desk", 16}, {"float-register", 12}}},
                              Bytes{500'000'000});
  scenario.region_delay = milliseconds(12);
  scenario.answer_bytes = Bytes{40'000};
  return scenario;
}

RegionScenario RakingNetworkScenario() {
  RegionScenario scenario;
  scenario.rules =
      Deployment({"kita", "chuo", "minami"},
                 {{{"crew-app", 20}, {"club-portal", 16}}}, Bytes{37'500'000});
  scenario.region_delay = milliseconds(20);
  scenario.answer_bytes = Bytes{40'000};
  return scenario;
}

}  // namespace comfreystand::bench
