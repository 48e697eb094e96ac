#include "bench/lookup_bench.h"

#include <time.h>

#include <array>
#include <pcg_random.hpp>
#include <string>
#include <unordered_map>
#include <utility>

#include "comfreystand/bench.h"
#include "comfreystand/steer/lookup.h"

namespace comfreystand::bench {
namespace {

using steer::BlockDelta;
using steer::BlockTable;
using steer::BlockTableBuilder;
using steer::ClientAddress;
using steer::NearnessOrder;
using steer::OrderId;
using steer::SiteLookup;

constexpr size_t kIpv4Blocks = 1'100'000;
constexpr size_t kIpv6Blocks = 300'000;
constexpr uint16_t kSiteCount = 190;
constexpr uint16_t kRegionCount = 6;
constexpr uint16_t kDomainCount = 19;
constexpr size_t kOrderCount = 20'000;
constexpr uint64_t kSeed = 11;
constexpr size_t kClientCount = 1 << 18;
constexpr int kRounds = 12;
constexpr double kMegabyte = 1e6;

std::string SiteName(uint16_t site) {
  return "site-" + std::to_string(site);
}

RuleSet MakeRules() {
  RuleSet rules;
  for (uint16_t region = 0; region < kRegionCount; ++region) {
    rules.regions.push_back({"region-" + std::to_string(region)});
  }
  for (uint16_t domain = 0; domain < kDomainCount; ++domain) {
    rules.domains.push_back({"domain-" + std::to_string(domain),
                             RegionId(domain % kRegionCount), 30});
  }
  for (uint16_t site = 0; site < kSiteCount; ++site) {
    rules.sites.push_back(
        {SiteName(site), DomainId(site % kDomainCount), 1.0 + site % 3});
  }
  return rules;
}

// Returns as many blocks as the target requires: disjoint IPv4 blocks of 8 to
// 2048 addresses over a third of the address space, one in ten with a nested
// block, and IPv6 blocks of /32 to /48 under a few registries' prefixes.
BlockDelta MakeBlocks() {
  pcg64 random(kSeed);
  BlockDelta delta;
  delta.version = 1;
  for (uint16_t site = 0; site < kSiteCount; ++site) {
    delta.sites.push_back(SiteName(site));
  }
  for (size_t i = 0; i < kOrderCount; ++i) {
    NearnessOrder order;
    const auto first = static_cast<uint16_t>(random(kSiteCount));
    for (uint8_t j = 0; j < limits::kMaxOrderSites; ++j) {
      order.sites[j] = static_cast<uint16_t>((first + j * 7) % kSiteCount);
      order.tiers[j] = j / 2;
      ++order.count;
    }
    delta.orders.push_back(order);
  }
  const auto order = [&] {
    return OrderId(static_cast<uint16_t>(random(kOrderCount)));
  };
  uint64_t next = uint64_t{1} << 24;
  while (delta.ipv4.size() < kIpv4Blocks) {
    const auto bits = static_cast<uint8_t>(21 + random(9));
    const uint64_t size = uint64_t{1} << (32 - bits);
    next = (next + size - 1) / size * size;
    delta.ipv4.push_back({next, bits, order()});
    if (random(10) == 0) {
      delta.ipv4.push_back({next, static_cast<uint8_t>(bits + 2), order()});
    }
    next += size + (random(4) == 0 ? random(2048) : 0);
  }
  delta.ipv4.resize(kIpv4Blocks);
  uint64_t next_ipv6 = 0x2400;
  next_ipv6 <<= 48;
  while (delta.ipv6.size() < kIpv6Blocks) {
    const auto bits = static_cast<uint8_t>(32 + random(17));
    const uint64_t size = uint64_t{1} << (64 - bits);
    next_ipv6 = (next_ipv6 + size - 1) / size * size;
    delta.ipv6.push_back({next_ipv6, bits, order()});
    next_ipv6 += size + (random(100) == 0 ? uint64_t{1} << 40 : 0);
  }
  return delta;
}

ClientAddress ToAddress(uint64_t key, bool ipv4) {
  ClientAddress address;
  if (ipv4) {
    address.bytes[10] = address.bytes[11] = 0xff;
  }
  for (int i = 0; i < (ipv4 ? 4 : 8); ++i) {
    address.bytes[(ipv4 ? 15 : 7) - i] = static_cast<uint8_t>(key >> (8 * i));
  }
  return address;
}

// Returns clients in random blocks, and one in twenty outside all blocks.
std::vector<ClientAddress> MakeClients(const BlockDelta& delta) {
  pcg64 random(kSeed + 1);
  std::vector<ClientAddress> clients;
  while (clients.size() < kClientCount) {
    const bool ipv4 = random(4) != 0;
    const auto& entries = ipv4 ? delta.ipv4 : delta.ipv6;
    const BlockDelta::Entry& entry = entries[random(entries.size())];
    const int host_bits = (ipv4 ? 32 : 64) - entry.bits;
    const uint64_t key = entry.start + random(uint64_t{1} << host_bits);
    clients.push_back(
        ToAddress(random(20) == 0 ? (ipv4 ? key | 0xf0000000 : 1) : key, ipv4));
  }
  return clients;
}

// CPU time of this thread in seconds. Other load on the machine affects it only
// by slowing the core down.
double ThreadSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

// Calls `function` with every client, kRounds times. Returns the calls per
// second of CPU time.
template <typename Function>
double MeasureCallRate(const std::vector<ClientAddress>& clients,
                       Function function) {
  const double begin = ThreadSeconds();
  for (int round = 0; round < kRounds; ++round) {
    for (const ClientAddress& client : clients) {
      function(client);
    }
  }
  return static_cast<double>(clients.size()) * kRounds /
         (ThreadSeconds() - begin);
}

// Baseline: one hash probe per prefix length, then the first site of the order,
// which is the cheapest part of the policy.
class HashByPrefixLength {
 public:
  explicit HashByPrefixLength(const BlockDelta& delta) : delta_(delta) {
    for (const BlockDelta::Entry& entry : delta.ipv4) {
      ipv4_[entry.bits][entry.start] = entry.order.value;
    }
    for (const BlockDelta::Entry& entry : delta.ipv6) {
      ipv6_[entry.bits][entry.start] = entry.order.value;
    }
  }

  uint16_t FirstSite(const ClientAddress& client) const {
    const bool ipv4 = client.bytes[10] == 0xff && client.bytes[11] == 0xff;
    uint64_t key = 0;
    for (int i = ipv4 ? 12 : 0; i < (ipv4 ? 16 : 8); ++i) {
      key = key << 8 | client.bytes[i];
    }
    return ipv4 ? Probe(ipv4_, 32, key) : Probe(ipv6_, 64, key);
  }

 private:
  using Table = std::unordered_map<uint64_t, uint16_t>;

  template <typename Tables>
  uint16_t Probe(const Tables& tables, int key_bits, uint64_t key) const {
    for (int bits = key_bits; bits >= 0; --bits) {
      if (tables[bits].empty()) {
        continue;
      }
      const uint64_t start =
          bits == 0 ? 0 : key >> (key_bits - bits) << (key_bits - bits);
      const auto entry = tables[bits].find(start);
      if (entry != tables[bits].end()) {
        return delta_.orders[entry->second].sites[0];
      }
    }
    return 0;
  }

  const BlockDelta& delta_;
  std::array<Table, 33> ipv4_;
  std::array<Table, 65> ipv6_;
};

// Memory use of the baseline: one std::unordered_map node per block.
constexpr double kHashNodeBytes = 40;

void MeasureLookup(Report* report) {
  const BlockDelta delta = MakeBlocks();
  const std::vector<ClientAddress> clients = MakeClients(delta);
  steer::BlockError error;
  BlockTableBuilder builder(nullptr, delta);
  builder.Start(&error);
  builder.Step(limits::kMaxBlocks);
  const std::shared_ptr<const BlockTable> table = builder.TakeTable();

  SiteLookup lookup({.domain = "domain-0"});
  lookup.SetRules(MakeRules());
  lookup.SetBlocks(table);
  uint64_t checksum = 0;
  const double rate =
      MeasureCallRate(clients, [&](const ClientAddress& client) {
        checksum += lookup.Answer(client, TimePoint()).sites[0].value;
      });
  const HashByPrefixLength hash_tables(delta);
  const double baseline =
      MeasureCallRate(clients, [&](const ClientAddress& client) {
        checksum += hash_tables.FirstSite(client);
      });
  volatile uint64_t sink = checksum;
  static_cast<void>(sink);
  report->results.push_back({.name = "lookup_decision_rate",
                             .unit = "1/s",
                             .value = rate,
                             .baseline = baseline,
                             .target = 5e6,
                             .higher_is_better = true,
                             .seed = kSeed,
                             .method = Method::kProcess});
  report->results.push_back(
      {.name = "lookup_table_mb",
       .unit = "MB",
       .value = static_cast<double>(table->MemoryUse().value) / kMegabyte,
       .baseline = (kIpv4Blocks + kIpv6Blocks) * kHashNodeBytes / kMegabyte,
       .target = 24,
       .seed = kSeed,
       .method = Method::kProcess});
}

}  // namespace

void RegisterLookupBenchmarks() {
  Register({"lookup_decision_rate", "lookup_table_mb"}, MeasureLookup);
}

}  // namespace comfreystand::bench
