#include "platform/item_copy.h"

#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace comfreystand::platform {
namespace {

StoreItem Item(const std::string& key,
               const std::string& value,
               StoreRevision revision) {
  return {.key = key, .value = value, .revision = revision};
}

StoreItem Removal(const std::string& key, StoreRevision revision) {
  return {.key = key, .revision = revision, .removed = true};
}

StoreRevision First(int64_t value) {
  return {.era = {}, .value = value};
}
StoreRevision Second(int64_t value) {
  return {.era = {1}, .value = value};
}

// A copy and what it has reported.
struct Fixture {
  bool List(StoreRevision as_of, const std::vector<StoreItem>& items) {
    std::map<std::string, StoreItem> list;
    for (const StoreItem& item : items) {
      list[item.key] = item;
    }
    return copy.ApplyList(as_of, list);
  }
  void Change(const StoreItem& item) {
    copy.ApplyChanges({.items = {item}, .as_of = item.revision});
  }

  std::map<std::string, std::string> values;
  int reports = 0;
  int advances = 0;
  ItemCopy copy{{.on_written =
                     [this](const StoreItem& item) {
                       values[item.key] = item.value;
                       ++reports;
                     },
                 .on_removed =
                     [this](const std::string& key) {
                       values.erase(key);
                       ++reports;
                     },
                 .on_advanced = [this] { ++advances; }}};
};

using Values = std::map<std::string, std::string>;

TEST_CASE("a copy of the store's items") {
  Fixture fixture;
  CHECK_FALSE(fixture.List(
      First(10), {Item("a", "1", First(4)), Item("b", "1", First(10))}));
  fixture.Change(Item("c", "1", First(20)));
  fixture.Change(Removal("b", First(21)));
  CHECK(fixture.values == Values{{"a", "1"}, {"c", "1"}});
  fixture.reports = 0;

  SUBCASE("passes on its changes in order") {
    const auto changes = fixture.copy.ChangesAfter(First(10));
    REQUIRE(changes);
    REQUIRE(changes->items.size() == 2);
    CHECK(changes->items[0].key == "c");
    CHECK(changes->items[1].removed);
    CHECK(changes->as_of == First(21));
    CHECK_FALSE(fixture.copy.ChangesAfter(First(9)));
  }
  SUBCASE("ignores what it knows and what is older") {
    CHECK_FALSE(fixture.List(First(15), {Item("a", "1", First(4))}));
    fixture.Change(Item("a", "0", First(3)));
    CHECK(fixture.reports == 0);
    CHECK(fixture.copy.revision() == First(21));
  }

  SUBCASE("after a restore of the store to an older state") {
    const std::vector<StoreItem> restored = {Item("a", "1", Second(4)),
                                             Item("b", "1", Second(10))};
    CHECK(fixture.List(Second(12), restored));
    SUBCASE("reports neither what is missing nor what is back") {
      CHECK(fixture.reports == 0);
      CHECK(fixture.copy.missing() == 1);
      CHECK(fixture.copy.returned() == 1);
    }
    SUBCASE("reports both once they are confirmed") {
      fixture.copy.ConfirmMissing();
      CHECK(fixture.values == Values{{"a", "1"}});
      fixture.copy.ConfirmReturned();
      CHECK(fixture.values == Values{{"a", "1"}, {"b", "1"}});
      CHECK(fixture.reports == 2);
    }
    SUBCASE("takes over lower revisions") {
      fixture.Change(Item("a", "2", Second(13)));
      fixture.Change(Item("c", "2", Second(14)));
      fixture.Change(Item("b", "2", Second(15)));
      fixture.copy.ConfirmMissing();
      fixture.copy.ConfirmReturned();
      CHECK(fixture.values == Values{{"a", "2"}, {"b", "2"}, {"c", "2"}});
      CHECK(fixture.reports == 3);
    }
    SUBCASE("does not report what is removed again before it is confirmed") {
      fixture.Change(Removal("b", Second(13)));
      fixture.copy.ConfirmReturned();
      CHECK(fixture.reports == 0);
    }
    SUBCASE("passes on what the store has") {
      const StoreItems page = fixture.copy.Page("", 10);
      REQUIRE(page.items.size() == 2);
      CHECK(page.items[1].key == "b");
      CHECK(page.as_of == Second(12));
    }
    SUBCASE("has no changes for nodes that don't know of the restore") {
      CHECK_FALSE(fixture.copy.ChangesAfter(First(21)));
    }
    SUBCASE("ignores nodes that don't know of the restore") {
      CHECK_FALSE(fixture.List(First(30), {Item("d", "1", First(30))}));
      fixture.Change(Item("e", "1", First(31)));
      CHECK(fixture.reports == 0);
      CHECK(fixture.copy.revision() == Second(12));
    }
    SUBCASE("compares with what it has reported after a second restore") {
      const StoreRevision third{.era = {2}, .value = 11};
      CHECK(fixture.List(third, {Item("a", "0", {.era = {2}, .value = 3}),
                                 Item("b", "1", {.era = {2}, .value = 10})}));
      CHECK(fixture.values == Values{{"a", "0"}, {"c", "1"}});
      CHECK(fixture.copy.missing() == 1);
      CHECK(fixture.copy.returned() == 1);
    }
  }
  SUBCASE("after a restore reports values that differ") {
    CHECK(fixture.List(
        Second(12), {Item("a", "0", Second(2)), Item("b", "other", Second(10)),
                     Item("d", "new", Second(11))}));
    CHECK(fixture.values ==
          Values{{"a", "0"}, {"b", "other"}, {"c", "1"}, {"d", "new"}});
  }
}

}  // namespace
}  // namespace comfreystand::platform
