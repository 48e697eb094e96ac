#include <doctest/doctest.h>

#include <algorithm>
#include <pcg_random.hpp>
#include <string>

#include "comfreystand/steer/change.h"
#include "comfreystand/steer/lookup.h"

namespace comfreystand::steer {
namespace {

using std::chrono::seconds;

std::shared_ptr<const BlockTable> BuildTable(
    std::string_view text,
    std::shared_ptr<const BlockTable> base = nullptr) {
  BlockError error;
  std::optional<BlockDelta> delta = ParseBlocks(text, &error);
  REQUIRE_MESSAGE(delta, error.message);
  BlockTableBuilder builder(std::move(base), std::move(*delta));
  REQUIRE_MESSAGE(builder.Start(&error), error.message);
  while (!builder.Step(3)) {
  }
  return builder.TakeTable();
}

int FindOrderNumber(const BlockTable& table, std::string_view client) {
  const OrderId order = table.Find(*ParseClientAddress(client));
  return order.IsValid() ? order.value : -1;
}

RuleSet TwoRegions() {
  RuleSet rules;
  rules.regions = {{"west"}, {"south"}};
  rules.domains = {
      {"w1", RegionId(0), 2}, {"w2", RegionId(0), 1}, {"s1", RegionId(1), 1}};
  rules.sites = {
      {"w1", DomainId(0), 1}, {"w2", DomainId(1), 1}, {"s1", DomainId(2), 1}};
  return rules;
}

std::string FirstSite(const SiteLookup& lookup, const LookupAnswer& answer) {
  return answer.count == 0 ? "" : lookup.SiteName(answer.sites[0]);
}

ClientAddress Client(uint32_t number) {
  return *ParseClientAddress("10." + std::to_string(number / 65536 % 256) +
                             "." + std::to_string(number / 256 % 256) + "." +
                             std::to_string(number % 256));
}

// Returns the share of 4000 client units whose answers list `site` first.
double ShareAnsweredWith(SiteLookup* lookup,
                         const std::string& site,
                         TimePoint now) {
  int matches = 0;
  for (uint32_t unit = 0; unit < 4000; ++unit) {
    matches +=
        FirstSite(*lookup, lookup->Answer(Client(unit * 256), now)) == site;
  }
  return matches / 4000.0;
}

constexpr std::string_view kTable =
    "blocks 1 7\n"
    "order 0 w1,w2 s1\n"
    "order 1 s1 w1\n"
    "order 2 w2 w1\n"
    "block 10.0.0.0/8 0\n"
    "block 10.1.0.0/16 1\n"
    "block 10.1.2.0/24 2\n"
    "block 2001:db8::/32 1\n"
    "block 2001:db8:1::/48 2\n";

TEST_CASE("a block table") {
  const auto table = BuildTable(kTable);
  SUBCASE("finds the order of the longest matching prefix") {
    CHECK(FindOrderNumber(*table, "10.9.9.9") == 0);
    CHECK(FindOrderNumber(*table, "10.1.9.9") == 1);
    CHECK(FindOrderNumber(*table, "10.1.2.255") == 2);
    CHECK(FindOrderNumber(*table, "10.1.3.0") == 1);
    CHECK(FindOrderNumber(*table, "10.2.0.0") == 0);
    CHECK(FindOrderNumber(*table, "2001:db8:1::9") == 2);
    CHECK(FindOrderNumber(*table, "2001:db8:2::9") == 1);
  }
  SUBCASE("finds no order for a client outside of its blocks") {
    CHECK(FindOrderNumber(*table, "9.255.255.255") == -1);
    CHECK(FindOrderNumber(*table, "11.0.0.0") == -1);
    CHECK(FindOrderNumber(*table, "2001:db9::") == -1);
    CHECK(FindOrderNumber(BlockTable(), "10.0.0.1") == -1);
  }
  SUBCASE("is updated by a delta") {
    const auto next = BuildTable(
        "delta 1 7 8\norder 0 s1 w1\norder 1 n1\nblock 10.1.2.0/24 0\n"
        "block 10.1.2.128/25 1\nremove 10.1.0.0/16\n",
        table);
    CHECK(next->Version() == 8);
    CHECK(FindOrderNumber(*next, "10.1.9.9") == 0);
    CHECK(FindOrderNumber(*next, "10.1.2.1") == 1);
    CHECK(FindOrderNumber(*next, "10.1.2.129") == 3);
    CHECK(next->Sites().back() == "n1");
    CHECK(FindOrderNumber(*table, "10.1.9.9") == 1);
  }
  SUBCASE("refuses a delta that applies to another version") {
    BlockError error;
    BlockTableBuilder builder(table, *ParseBlocks("delta 1 6 8\n", &error));
    CHECK_FALSE(builder.Start(&error));
  }
  SUBCASE("finds the same prefix as a linear search") {
    pcg32 random(4);
    struct Prefix {
      uint32_t start;
      uint32_t bits;
    };
    std::vector<Prefix> prefixes;
    std::string text = "blocks 1 1\n";
    for (int order = 0; order < 300; ++order) {
      text += "order " + std::to_string(order) + " s" + std::to_string(order) +
              "\n";
    }
    for (uint32_t i = 0; i < 300; ++i) {
      const uint32_t bits = random(13);
      const uint32_t start = bits == 0 ? 0 : random(256) << (32 - bits);
      const bool seen = std::any_of(
          prefixes.begin(), prefixes.end(),
          [&](const Prefix& p) { return p.start == start && p.bits == bits; });
      prefixes.push_back({start, seen ? 99 : bits});
      if (!seen) {
        text += "block " + std::to_string(start >> 24) + "." +
                std::to_string(start >> 16 & 255) + ".0.0/" +
                std::to_string(bits) + " " + std::to_string(i) + "\n";
      }
    }
    const auto built = BuildTable(text);
    for (int i = 0; i < 20'000; ++i) {
      const uint32_t key = random();
      int best = -1;
      for (size_t p = 0; p < prefixes.size(); ++p) {
        const uint32_t bits = prefixes[p].bits;
        const bool contains =
            bits == 0 ||
            (bits <= 32 && (key ^ prefixes[p].start) >> (32 - bits) == 0);
        if (contains && (best < 0 || bits > prefixes[best].bits)) {
          best = static_cast<int>(p);
        }
      }
      const std::string client = std::to_string(key >> 24) + "." +
                                 std::to_string(key >> 16 & 255) + "." +
                                 std::to_string(key >> 8 & 255) + "." +
                                 std::to_string(key & 255);
      REQUIRE(FindOrderNumber(*built, client) == best);
    }
  }
}

TEST_CASE("malformed block table text is refused") {
  struct Case {
    const char* name;
    std::string text;
    int line;
  };
  const std::string head = "blocks 1 1\norder 0 a\n";
  const Case cases[] = {
      {"empty", "", 1},
      {"unknown header", "table 1 1\n", 1},
      {"unknown format", "blocks 2 1\n", 1},
      {"version zero", "blocks 1 0\n", 1},
      {"delta without base", "delta 1 0 4\n", 1},
      {"delta to an older version", "delta 1 4 3\n", 1},
      {"order number out of sequence", "blocks 1 1\norder 1 a\n", 2},
      {"order without sites", "blocks 1 1\norder 0\n", 2},
      {"site twice", "blocks 1 1\norder 0 a b a\n", 2},
      {"too many sites", "blocks 1 1\norder 0 a b c d e f g h i\n", 2},
      {"name too long",
       "blocks 1 1\norder 0 " + std::string(limits::kMaxNameBytes + 1, 'a'), 2},
      {"unknown order", head + "block 10.0.0.0/8 1\n", 3},
      {"no length", head + "block 10.0.0.0 0\n", 3},
      {"IPv4 too long", head + "block 10.0.0.0/33 0\n", 3},
      {"IPv6 too long", head + "block 2001:db8::/65 0\n", 3},
      {"IPv6 low bits", head + "block 2001:db8::1/64 0\n", 3},
      {"bits beyond prefix", head + "block 10.0.0.1/24 0\n", 3},
      {"negative length", head + "block 10.0.0.0/-1 0\n", 3},
      {"not an address", head + "block 10.0.0/8 0\n", 3},
      {"zero byte", head + std::string("block 10.0.0.0\0/8 0\n", 20), 3},
      {"removal in a whole table", head + "remove 10.0.0.0/8\n", 3},
      {"trailing text", head + "block 10.0.0.0/8 0 x\n", 3},
      {"prefix twice", head + "block 10.0.0.0/8 0\nblock 10.0.0.0/8 0\n", 4},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    BlockError error;
    CHECK_FALSE(ParseBlocks(c.text, &error).has_value());
    CHECK(error.line == c.line);
    CHECK_FALSE(error.message.empty());
  }
}

TEST_CASE("a look-up") {
  const TimePoint now(seconds(100));
  SiteLookup lookup({.domain = "w2"});
  SUBCASE("is empty before the rules are set") {
    CHECK(lookup.Answer(Client(0), now).count == 0);
  }
  lookup.SetRules(TwoRegions());
  SUBCASE("without blocks lists the sites of the node's region first") {
    CHECK(ShareAnsweredWith(&lookup, "w1", now) ==
          doctest::Approx(0.5).epsilon(0.1));
    CHECK(ShareAnsweredWith(&lookup, "s1", now) == 0);
    CHECK(lookup.Answer(Client(0), now).count == 3);
    CHECK(lookup.Answer(Client(0), now).ttl == limits::kAnswerTtl);
  }
  SUBCASE(
      "follows the order of the block and skips sites that the rules lack") {
    lookup.SetBlocks(
        BuildTable("blocks 1 1\norder 0 gone s1 w1\nblock 10.0.0.0/8 0\n"));
    CHECK(FirstSite(lookup, lookup.Answer(Client(0), now)) == "s1");
  }
  SUBCASE("of a client in no block is answered") {
    lookup.SetBlocks(BuildTable(kTable));
    CHECK(lookup.Answer(*ParseClientAddress("192.0.2.1"), now).count == 3);
    CHECK(lookup.Stats().unknown_clients == 1);
  }
  SUBCASE(
      "gives the same answer until a state changes, also with an equal table") {
    lookup.SetBlocks(BuildTable(kTable));
    const LookupAnswer before = lookup.Answer(Client(77), now);
    lookup.SetBlocks(BuildTable(kTable));
    CHECK(lookup.Answer(Client(77), now + seconds(9)).sites == before.sites);
  }
  SUBCASE("moves only the clients of a dead site") {
    std::vector<std::string> before;
    for (uint32_t unit = 0; unit < 500; ++unit) {
      before.push_back(
          FirstSite(lookup, lookup.Answer(Client(unit * 256), now)));
    }
    lookup.SetSiteState("w1", {.live = false});
    for (uint32_t unit = 0; unit < 500; ++unit) {
      const std::string after =
          FirstSite(lookup, lookup.Answer(Client(unit * 256), now));
      CHECK(after == "w2");
      CHECK((before[unit] == "w1" || before[unit] == after));
    }
  }
  SUBCASE("sends clients that a loaded site does not admit to another site") {
    lookup.SetSiteState("w1", {.admit_fraction = Fraction{0.5}});
    CHECK(ShareAnsweredWith(&lookup, "w1", now) ==
          doctest::Approx(0.25).epsilon(0.15));
    CHECK(ShareAnsweredWith(&lookup, "s1", now) == 0);
  }
  SUBCASE("omits a leaving site and shortens the TTL") {
    lookup.SetSiteState("w1", {.leaving = true});
    const LookupAnswer answer = lookup.Answer(Client(0), now);
    CHECK(answer.count == 2);
    CHECK(answer.ttl == limits::kAnswerTtlInChange);
  }
  SUBCASE("lists dead sites only when there are no others") {
    for (const char* site : {"w1", "w2", "s1"}) {
      lookup.SetSiteState(site, {.live = false});
    }
    CHECK(lookup.Answer(Client(0), now).count == 3);
    CHECK(lookup.Stats().last_resort == 1);
  }
  SUBCASE(
      "falls back to sites near the node when those of the block are dead") {
    lookup.SetBlocks(
        BuildTable("blocks 1 1\norder 0 s1\nblock 10.0.0.0/8 0\n"));
    lookup.SetSiteState("s1", {.live = false});
    const LookupAnswer answer = lookup.Answer(Client(0), now);
    CHECK(FirstSite(lookup, answer).front() == 'w');
    CHECK(answer.count == 2);
  }
  SUBCASE("follows the shares between regions in the rules") {
    RuleSet rules = TwoRegions();
    rules.shares = {{RegionId(0), RegionId(0), Fraction{0.7}},
                    {RegionId(0), RegionId(1), Fraction{0.3}}};
    lookup.SetRules(rules);
    CHECK(ShareAnsweredWith(&lookup, "s1", now) ==
          doctest::Approx(0.3).epsilon(0.1));
  }
  SUBCASE("divides equally near sites by weight") {
    RuleSet rules = TwoRegions();
    rules.sites[0].weight = 3;
    lookup.SetRules(rules);
    CHECK(ShareAnsweredWith(&lookup, "w1", now) ==
          doctest::Approx(0.75).epsilon(0.05));
  }
  SUBCASE(
      "in a change moves the units that the gate admits, also from a removed "
      "site") {
    RuleSet current = TwoRegions();
    current.sites[0].name = "w3";
    ChangeGate gate(
        {.baseline = {}, .cap = {Fraction{1}, seconds(100)}, .accepted = now});
    lookup.SetChange(TwoRegions(), current, &gate);
    CHECK(ShareAnsweredWith(&lookup, "w3", now) == 0);
    CHECK(ShareAnsweredWith(&lookup, "w1", now) ==
          doctest::Approx(0.5).epsilon(0.1));
    CHECK(ShareAnsweredWith(&lookup, "w3", now + seconds(50)) ==
          doctest::Approx(0.25).epsilon(0.15));
    CHECK(lookup.Answer(Client(0), now).ttl == limits::kAnswerTtlInChange);
  }
}

}  // namespace
}  // namespace comfreystand::steer
