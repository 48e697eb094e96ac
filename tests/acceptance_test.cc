#include "comfreystand/acceptance.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>

#include "comfreystand/limits.h"
#include "tests/support/fake_store.h"
#include "tests/support/tiny_codec.h"

namespace comfreystand::platform {
namespace {

using namespace std::chrono_literals;

using testing::FakeStore;
using testing::NodeLoop;
using testing::StoreFaults;
using testing::VirtualLoop;

// A proposing process on its own loop.
struct Proposer {
  Proposer(VirtualLoop& base, FakeStore& store, uint64_t seed)
      : loop(base), client(store.Client(loop)) {
    AcceptanceInit init;
    init.codec = testing::TinyCodec();
    init.seed = seed;
    acceptance.emplace(init, loop, *client);
  }

  void Propose(const std::string& id, uint64_t expected, std::string text) {
    acceptance->Propose(Origin(id, expected), std::move(text),
                        [this](const AcceptResult& r) { result = r; });
  }

  static ChangeOrigin Origin(const std::string& id, uint64_t expected) {
    ChangeOrigin origin;
    origin.change_id = id;
    origin.expected_version = {expected};
    origin.proposed_by = "operator of " + id;
    origin.requested_by = "committee";
    return origin;
  }

  NodeLoop loop;
  std::unique_ptr<KeyValueStore> client;
  std::optional<Acceptance> acceptance;
  std::optional<AcceptResult> result;
};

RuleDocument Stored(const FakeStore& store) {
  return testing::DecodeTiny(store.Peek("comfreystand/rules").value)
      .value_or(RuleDocument{});
}

std::vector<AuditEntry> History(VirtualLoop& loop, Proposer& reader) {
  std::vector<AuditEntry> found;
  reader.acceptance->ReadHistory(
      {}, 1000, [&](StoreStatus status, const std::vector<AuditEntry>& list) {
        CHECK(status == StoreStatus::kOk);
        found = list;
      });
  loop.RunFor(5s);
  return found;
}

struct FaultCase {
  const char* name;
  double lost_answer;
  double lost_request;
  double late_effect;
};

constexpr FaultCase kFaultCases[] = {
    {"answers are lost", 0.6, 0, 0},
    {"requests are lost", 0, 0.6, 0},
    {"writes take effect late", 0, 0, 0.6},
    {"all of these", 0.3, 0.2, 0.2},
};

}  // namespace

TEST_CASE("a rule change is accepted by one compare-and-swap") {
  VirtualLoop loop(1);
  FakeStore store(loop);
  Proposer first(loop, store, 1);
  Proposer second(loop, store, 2);
  first.Propose("c1", 0, "one");
  loop.RunFor(1s);
  REQUIRE(first.result);
  CHECK(first.result->status == AcceptStatus::kAccepted);
  CHECK(Stored(store).version == RuleVersion{1});
  CHECK(Stored(store).baseline_text == "one");

  SUBCASE("and two that race leave one winner and one conflict") {
    first.Propose("c2", 1, "two");
    second.Propose("c3", 1, "three");
    loop.RunFor(5s);
    const bool first_won = first.result->status == AcceptStatus::kAccepted;
    const AcceptResult& lost = first_won ? *second.result : *first.result;
    CHECK(lost.status == AcceptStatus::kConflict);
    CHECK(lost.version == RuleVersion{2});
    CHECK(lost.diff == (first_won ? "-two\n+three\n" : "-three\n+two\n"));

    SUBCASE("and the loser proposes again on top of the winner") {
      Proposer& loser = first_won ? second : first;
      loser.Propose("c4", 2, "four");
      loop.RunFor(5s);
      CHECK(loser.result->status == AcceptStatus::kAccepted);
      CHECK(Stored(store).version == RuleVersion{3});
    }
  }

  SUBCASE("and a file that does not parse changes nothing") {
    first.Propose("c2", 1, "bad");
    loop.RunFor(1s);
    CHECK(first.result->status == AcceptStatus::kInvalid);
    CHECK(first.result->errors.size() == 1);
    CHECK(Stored(store).version == RuleVersion{1});
  }

  SUBCASE("and a file above the store's value limit is refused") {
    first.Propose("c2", 1, std::string(limits::kMaxStoreValueBytes, 'x'));
    loop.RunFor(1s);
    CHECK(first.result->status == AcceptStatus::kTooLarge);
  }

  SUBCASE("and a store that is down gives 'not accepted', never a guess") {
    store.faults.down = true;
    first.Propose("c2", 1, "two");
    loop.RunFor(60s);
    CHECK(first.result->status == AcceptStatus::kUnavailable);
    store.faults.down = false;
    loop.RunFor(60s);
    CHECK(Stored(store).version == RuleVersion{1});
  }

  SUBCASE("and a damaged value is reported as such") {
    store.Poke("comfreystand/rules", "garbage");
    first.Propose("c2", 1, "two");
    loop.RunFor(5s);
    CHECK(first.result->status == AcceptStatus::kDamaged);
    CHECK(first.acceptance->GetStats().damaged_documents > 0);
  }

  SUBCASE("and a store restored from an old copy never reuses a version") {
    ChangeOrigin origin = Proposer::Origin("c2", 1);
    origin.floor = {7};
    first.acceptance->Propose(origin, "two", [](const AcceptResult&) {});
    loop.RunFor(1s);
    CHECK(Stored(store).version == RuleVersion{8});
  }

  SUBCASE("and the change under way is halted, taken back and settled") {
    first.Propose("c2", 1, "two");
    loop.RunFor(1s);
    CHECK(Stored(store).baseline_text == "one");
    std::vector<AcceptStatus> seen;
    const auto note = [&](const AcceptResult& r) { seen.push_back(r.status); };
    first.acceptance->Halt(Proposer::Origin("c3", 2), note);
    loop.RunFor(1s);
    CHECK(Stored(store).halted);
    first.acceptance->TakeBack(Proposer::Origin("c4", 3), note);
    loop.RunFor(1s);
    CHECK(Stored(store).text == "one");
    CHECK(Stored(store).baseline_text == "two");
    CHECK_FALSE(Stored(store).halted);
    first.acceptance->Settle(Proposer::Origin("c5", 4), note);
    loop.RunFor(1s);
    CHECK(Stored(store).baseline_version == RuleVersion{5});
    first.acceptance->TakeBack(Proposer::Origin("c6", 5), note);
    loop.RunFor(1s);
    const std::vector<AcceptStatus> expected = {
        AcceptStatus::kAccepted, AcceptStatus::kAccepted,
        AcceptStatus::kAccepted, AcceptStatus::kInvalid};
    CHECK(seen == expected);
    CHECK(History(loop, first).size() == 5);
  }
}

TEST_CASE("a lost answer is resolved by reading back the change") {
  for (const FaultCase& fault : kFaultCases) {
    CAPTURE(fault.name);
    for (uint64_t seed = 1; seed <= 40; ++seed) {
      CAPTURE(seed);
      VirtualLoop loop(seed);
      FakeStore store(loop);
      store.faults.lost_answer = fault.lost_answer;
      store.faults.lost_request = fault.lost_request;
      store.faults.late_effect = fault.late_effect;
      Proposer a(loop, store, seed);
      Proposer b(loop, store, seed + 100);
      a.Propose("a", 0, "one");
      b.Propose("b", 0, "two");
      loop.RunFor(60s);
      store.faults = StoreFaults{};
      loop.RunFor(60s);
      REQUIRE(a.result);
      REQUIRE(b.result);
      std::vector<std::string> in_force;
      for (const AuditEntry& entry : History(loop, a)) {
        in_force.push_back(entry.change_id);
      }
      for (const Proposer* proposer : {&a, &b}) {
        const std::string id = proposer == &a ? "a" : "b";
        const bool there =
            std::count(in_force.begin(), in_force.end(), id) == 1;
        const AcceptStatus status = proposer->result->status;
        if (status != AcceptStatus::kUnresolved) {
          CHECK(there == (status == AcceptStatus::kAccepted));
        }
      }
    }
  }
}

TEST_CASE("the audit trail is complete after a crash between the writes") {
  VirtualLoop loop(3);
  FakeStore store(loop);
  Proposer crashing(loop, store, 1);
  Proposer other(loop, store, 2);

  SUBCASE("because the document carries the entry") {
    crashing.acceptance->Propose(
        Proposer::Origin("c1", 0), "one",
        [&](const AcceptResult&) { crashing.loop.Kill(); });
    loop.RunFor(5s);
    CHECK(Stored(store).unconfirmed.size() == 1);
    CHECK(store.Peek("comfreystand/audit/000000000000").value.empty());
    CHECK(History(loop, other).size() == 1);

    SUBCASE("and any node completes the trail") {
      other.acceptance->ConfirmAudit([](StoreStatus) {});
      loop.RunFor(5s);
      CHECK_FALSE(store.Peek("comfreystand/audit/000000000000").value.empty());
      other.Propose("c2", 1, "two");
      loop.RunFor(5s);
      // The entry known to be in the trail is gone from the document.
      CHECK(Stored(store).unconfirmed.size() == 1);
      CHECK(History(loop, other).size() == 2);
    }
  }

  SUBCASE("and entries with large differences stay within the value limit") {
    for (uint64_t version = 0; version < 40; ++version) {
      const std::string text(120'000 + version, 'x');
      other.Propose("c" + std::to_string(version), version, text);
      loop.RunFor(5s);
      REQUIRE(other.result->status == AcceptStatus::kAccepted);
    }
    CHECK(store.LargestValue() <= limits::kMaxStoreValueBytes);
    CHECK(History(loop, other).size() == 40);
    CHECK(Stored(store).unconfirmed.size() <= limits::kAuditDropEntries);
  }
}

}  // namespace comfreystand::platform
