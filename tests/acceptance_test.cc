#include "comfreystand/acceptance.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>

#include "comfreystand/limits.h"
#include "tests/support/fake_store.h"
#include "tests/support/json_codec.h"

namespace comfreystand::platform {
namespace {

using namespace std::chrono_literals;

using testing::FakeStore;
using testing::NodeLoop;
using testing::StoreFaults;
using testing::VirtualLoop;

// A process that proposes changes, on its own loop.
struct Proposer {
  Proposer(VirtualLoop& base, FakeStore& store, uint64_t seed)
      : loop(base), client(store.Client(loop)) {
    AcceptanceInit init;
    init.codec = testing::JsonDocumentCodec();
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

RuleDocument StoredDocument(const FakeStore& store) {
  return testing::DecodeJsonDocument(
             store.ReadDirectly("comfreystand/rules").value)
      .value_or(RuleDocument{});
}

std::vector<AuditEntry> ReadAuditEntries(VirtualLoop& loop, Proposer& reader) {
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
  CHECK(StoredDocument(store).version == RuleVersion{1});
  CHECK(StoredDocument(store).baseline_text == "one");

  SUBCASE("and two concurrent changes give one acceptance and one conflict") {
    first.Propose("c2", 1, "two");
    second.Propose("c3", 1, "three");
    loop.RunFor(5s);
    const bool first_accepted = first.result->status == AcceptStatus::kAccepted;
    const AcceptResult& rejected =
        first_accepted ? *second.result : *first.result;
    CHECK(rejected.status == AcceptStatus::kConflict);
    CHECK(rejected.version == RuleVersion{2});
    CHECK(rejected.diff ==
          (first_accepted ? "-two\n+three\n" : "-three\n+two\n"));

    SUBCASE("and the rejected change is accepted on the new version") {
      Proposer& rejected_proposer = first_accepted ? second : first;
      rejected_proposer.Propose("c4", 2, "four");
      loop.RunFor(5s);
      CHECK(rejected_proposer.result->status == AcceptStatus::kAccepted);
      CHECK(StoredDocument(store).version == RuleVersion{3});
    }
  }

  SUBCASE("and a file that does not parse changes nothing") {
    first.Propose("c2", 1, "bad");
    loop.RunFor(1s);
    CHECK(first.result->status == AcceptStatus::kInvalid);
    CHECK(first.result->errors.size() == 1);
    CHECK(StoredDocument(store).version == RuleVersion{1});
  }

  SUBCASE("and a file above the store's value limit is refused") {
    first.Propose("c2", 1, std::string(limits::kMaxStoreValueBytes, 'x'));
    loop.RunFor(1s);
    CHECK(first.result->status == AcceptStatus::kTooLarge);
  }

  SUBCASE("and while the store is down the change is not accepted") {
    store.faults.down = true;
    first.Propose("c2", 1, "two");
    loop.RunFor(60s);
    CHECK(first.result->status == AcceptStatus::kUnavailable);
    store.faults.down = false;
    loop.RunFor(60s);
    CHECK(StoredDocument(store).version == RuleVersion{1});
  }

  SUBCASE("and a value that can't be decoded is reported") {
    store.WriteDirectly("comfreystand/rules", "garbage");
    first.Propose("c2", 1, "two");
    loop.RunFor(5s);
    CHECK(first.result->status == AcceptStatus::kDamaged);
    CHECK(first.acceptance->GetStats().invalid_documents > 0);
  }

  SUBCASE("and a store restored from an old copy never reuses a version") {
    ChangeOrigin origin = Proposer::Origin("c2", 1);
    origin.highest_known_version = {7};
    first.acceptance->Propose(origin, "two", [](const AcceptResult&) {});
    loop.RunFor(1s);
    CHECK(StoredDocument(store).version == RuleVersion{8});
  }

  SUBCASE("and the change in progress is halted, taken back and settled") {
    first.Propose("c2", 1, "two");
    loop.RunFor(1s);
    CHECK(StoredDocument(store).baseline_text == "one");
    std::vector<AcceptStatus> statuses;
    const auto record_result = [&](const AcceptResult& r) {
      statuses.push_back(r.status);
    };
    first.acceptance->Halt(Proposer::Origin("c3", 2), record_result);
    loop.RunFor(1s);
    CHECK(StoredDocument(store).halted);
    first.acceptance->TakeBack(Proposer::Origin("c4", 3), record_result);
    loop.RunFor(1s);
    CHECK(StoredDocument(store).text == "one");
    CHECK(StoredDocument(store).baseline_text == "two");
    CHECK_FALSE(StoredDocument(store).halted);
    first.acceptance->Settle(Proposer::Origin("c5", 4), record_result);
    loop.RunFor(1s);
    CHECK(StoredDocument(store).baseline_version == RuleVersion{5});
    first.acceptance->TakeBack(Proposer::Origin("c6", 5), record_result);
    loop.RunFor(1s);
    const std::vector<AcceptStatus> expected = {
        AcceptStatus::kAccepted, AcceptStatus::kAccepted,
        AcceptStatus::kAccepted, AcceptStatus::kInvalid};
    CHECK(statuses == expected);
    CHECK(ReadAuditEntries(loop, first).size() == 5);
  }
}

TEST_CASE("a lost answer is resolved by reading the change back") {
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
      std::vector<std::string> accepted_ids;
      for (const AuditEntry& entry : ReadAuditEntries(loop, a)) {
        accepted_ids.push_back(entry.change_id);
      }
      for (const Proposer* proposer : {&a, &b}) {
        const std::string id = proposer == &a ? "a" : "b";
        const bool in_history =
            std::count(accepted_ids.begin(), accepted_ids.end(), id) == 1;
        const AcceptStatus status = proposer->result->status;
        if (status != AcceptStatus::kUnresolved) {
          CHECK(in_history == (status == AcceptStatus::kAccepted));
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
    CHECK(StoredDocument(store).unconfirmed.size() == 1);
    CHECK(store.ReadDirectly("comfreystand/audit/000000000000").value.empty());
    CHECK(ReadAuditEntries(loop, other).size() == 1);

    SUBCASE("and any node completes the trail") {
      other.acceptance->ConfirmAudit([](StoreStatus) {});
      loop.RunFor(5s);
      CHECK_FALSE(
          store.ReadDirectly("comfreystand/audit/000000000000").value.empty());
      other.Propose("c2", 1, "two");
      loop.RunFor(5s);
      // The confirmed entry has been removed from the document.
      CHECK(StoredDocument(store).unconfirmed.size() == 1);
      CHECK(ReadAuditEntries(loop, other).size() == 2);
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
    CHECK(ReadAuditEntries(loop, other).size() == 40);
    CHECK(StoredDocument(store).unconfirmed.size() <=
          limits::kAuditDropEntries);
  }
}

TEST_CASE("acceptance with the documents of the rules library") {
  constexpr std::string_view kFile =
      "region r # asked by ops: first\n"
      "domain d in r entry-vms 1 # asked by ops: place\n"
      "site s in d weight 1 # asked by ops: answers\n";
  VirtualLoop loop(5);
  FakeStore store(loop);
  NodeLoop node(loop);
  const auto client = store.Client(node);
  Acceptance acceptance({}, node, *client);
  std::vector<AcceptResult> results;
  const auto record_result = [&](const AcceptResult& r) {
    results.push_back(r);
  };
  acceptance.Propose(Proposer::Origin("c1", 0), std::string(kFile),
                     record_result);
  loop.RunFor(1s);
  const std::string changed = std::string(kFile) + "# a later remark\n";
  acceptance.Propose(Proposer::Origin("c2", 1), changed, record_result);
  loop.RunFor(1s);
  acceptance.Propose(Proposer::Origin("c3", 2), "regoin r\n", record_result);
  loop.RunFor(1s);
  REQUIRE(results.size() == 3);
  CHECK(results[0].status == AcceptStatus::kAccepted);
  CHECK(results[1].status == AcceptStatus::kAccepted);
  CHECK(results[2].status == AcceptStatus::kInvalid);
  CHECK_FALSE(results[2].errors.empty());
  const auto document =
      DecodeRuleDocument(store.ReadDirectly("comfreystand/rules").value);
  REQUIRE(document);
  CHECK(document->version == RuleVersion{2});
  CHECK(document->text == changed);
  CHECK(document->baseline_text == kFile);
  CHECK(DecodeRuleDocument(results[1].document)->version == RuleVersion{2});
}

}  // namespace comfreystand::platform
