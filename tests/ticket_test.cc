#include <doctest/doctest.h>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "comfreystand/limits.h"
#include "comfreystand/steer/ticket.h"
#include "src/steer/ticket_window.h"
#include "tests/support/property.h"

namespace comfreystand::steer {
namespace {

using namespace std::chrono_literals;

std::unique_ptr<TicketAuthority> MakeNode(uint32_t node, uint64_t incarnation) {
  TicketInit init;
  init.node = NodeId(node);
  init.incarnation = Incarnation{incarnation};
  init.key.fill(static_cast<uint8_t>(node + incarnation));
  return CreateTicketAuthority(init);
}

TicketOutcome Redeem(TicketAuthority& node,
                     TimePoint now,
                     const std::string& text) {
  return node.Redeem(now, text).outcome;
}

TEST_CASE("a ticket") {
  const auto node = MakeNode(3, 7);
  TimePoint now(1s);
  const std::string ticket = node->Issue(now);
  REQUIRE(ticket.size() <= limits::kMaxTicketBytes);
  SUBCASE("is accepted once by its issuer") {
    CHECK(Redeem(*node, now, ticket) == TicketOutcome::kAccepted);
    CHECK(Redeem(*node, now, ticket) == TicketOutcome::kAlreadyUsed);
    SUBCASE("and again after it was released") {
      CHECK(node->Release(now, ticket));
      CHECK_FALSE(node->Release(now, ticket));
      CHECK(Redeem(*node, now, ticket) == TicketOutcome::kAccepted);
    }
  }
  SUBCASE("is refused by another node, which returns the issuer") {
    const auto other = MakeNode(4, 7);
    const Redemption redemption = other->Redeem(now, ticket);
    CHECK(redemption.outcome == TicketOutcome::kOtherIssuer);
    CHECK(redemption.issuer == NodeId(3));
    CHECK(redemption.issuer_incarnation == Incarnation{7});
  }
  SUBCASE("is refused by the next incarnation of its issuer") {
    CHECK(Redeem(*MakeNode(3, 8), now, ticket) == TicketOutcome::kOtherIssuer);
  }
  SUBCASE("expires, whether used or not") {
    const std::string unused = node->Issue(now);
    CHECK(Redeem(*node, now, ticket) == TicketOutcome::kAccepted);
    now += 10min + 1us;
    CHECK(Redeem(*node, now, ticket) == TicketOutcome::kExpired);
    CHECK(Redeem(*node, now, unused) == TicketOutcome::kExpired);
  }
  SUBCASE("is still stored as used just before it expires") {
    CHECK(Redeem(*node, now, ticket) == TicketOutcome::kAccepted);
    for (int i = 0; i < 100; ++i) {
      now += 6s;
      node->Issue(now);
    }
    CHECK(Redeem(*node, now, ticket) == TicketOutcome::kAlreadyUsed);
  }
}

TEST_CASE("malformed or forged tickets are refused") {
  const auto node = MakeNode(3, 7);
  const TimePoint now(1s);
  const std::string valid = node->Issue(now);
  std::vector<std::string> texts = {
      "",
      "t1",
      "t1....",
      "t1.3.7.0.f4240.",
      "t2" + valid.substr(2),
      valid + "0",
      valid.substr(0, valid.size() - 1),
      "t1.3.7.-1" + valid.substr(8),
      "t1.ffffffffffffffffff.7.0.0.00000000000000000000000000000000",
      "t1.3.7.1.f4240" + valid.substr(valid.rfind('.')),
      std::string(limits::kMaxTicketBytes + 1, '0'),
      std::string("t1.3\0.7", 7)};
  for (size_t i = valid.rfind('.') + 1; i < valid.size(); ++i) {
    texts.push_back(valid);
    texts.back()[i] = valid[i] == '0' ? '1' : '0';
  }
  for (const std::string& text : texts) {
    CAPTURE(text);
    CHECK(Redeem(*node, now, text) == TicketOutcome::kMalformed);
    CHECK_FALSE(node->Release(now, text));
  }
  CHECK(Redeem(*node, now, valid) == TicketOutcome::kAccepted);
}

TEST_CASE("memory for used tickets") {
  const auto node = MakeNode(1, 1);
  TimePoint now(1s);
  SUBCASE("is about one bit per ticket") {
    for (int i = 0; i < 100'000; ++i) {
      node->Issue(now);
    }
    CHECK(node->Stats().memory_bytes < 20'000);
  }
  SUBCASE("is freed after the lifetime") {
    for (int i = 0; i < 100'000; ++i) {
      node->Issue(now);
    }
    now += 10min + 1us;
    node->Issue(now);
    CHECK(node->Stats().memory_bytes < 1'000);
  }
  SUBCASE(
      "is bounded: no serial number is issued when all windows are in use") {
    SerialWindows windows(10min);
    constexpr size_t kMaxSerials =
        limits::kTicketsPerWindow * limits::kMaxTicketWindows;
    for (size_t i = 0; i < kMaxSerials; ++i) {
      windows.NextSerial(now);
    }
    CHECK(windows.NextSerial(now) == SerialWindows::kNoSerial);
    CHECK(windows.MemoryBytes() < 700'000);
    CHECK(windows.NextSerial(now + 10min + 1us) != SerialWindows::kNoSerial);
  }
}

TEST_CASE("in any order of events a ticket is accepted at most once") {
  CheckProperty([](const std::vector<uint16_t>& events) {
    std::array<std::unique_ptr<TicketAuthority>, 3> nodes = {
        MakeNode(0, 1), MakeNode(1, 1), MakeNode(2, 1)};
    std::array<uint64_t, 3> incarnations = {1, 1, 1};
    std::vector<std::string> tickets;
    std::map<std::string, int> accepted;
    TimePoint now(1s);
    for (const uint16_t event : events) {
      const size_t node_index = event % 3;
      const uint16_t action = (event / 3) % 8;
      if (action < 3) {
        tickets.push_back(nodes[node_index]->Issue(now));
      } else if (action < 6 && !tickets.empty()) {
        const std::string& ticket = tickets[event % tickets.size()];
        if (Redeem(*nodes[node_index], now, ticket) ==
            TicketOutcome::kAccepted) {
          ++accepted[ticket];
        }
      } else if (action == 6) {
        now += Duration(int64_t{1'000'000} * event);
      } else {
        nodes[node_index] = MakeNode(static_cast<uint32_t>(node_index),
                                     ++incarnations[node_index]);
      }
    }
    for (const auto& [ticket, count] : accepted) {
      RC_ASSERT(count == 1);
    }
  });
}

}  // namespace
}  // namespace comfreystand::steer
