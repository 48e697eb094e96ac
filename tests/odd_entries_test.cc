#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "tests/support/gateway_fixture.h"

// Entries of the store from another writer.
namespace comfreystand::platform {
namespace {

using std::chrono::seconds;
using testing::GatewayFixture;
using testing::GatewayRequest;

constexpr int kNesting = 200'000;

std::string Nested(const std::string& open, const std::string& close) {
  std::string text;
  for (int i = 0; i < kNesting; ++i) {
    text += open;
  }
  text += "1";
  for (int i = 0; i < kNesting; ++i) {
    text += close;
  }
  return text;
}

// A registration in which one field has another value.
std::string Entry(const std::string& field, const std::string& value) {
  std::string text = "{";
  const std::vector<std::pair<std::string, std::string>> fields = {
      {"service", R"("desk")"}, {"address", R"("127.0.0.1:9")"},
      {"zone", R"("west-a")"},  {"version", R"("v1")"},
      {"capacity", "3"},        {"state", R"("ready")"},
      {"coldLeftMs", "0"},      {"sequence", "1"},
      {"born", "1764837000123"}};
  for (const auto& [name, usual] : fields) {
    text += (text.size() > 1 ? ",\"" : "\"") + name +
            "\":" + (name == field ? value : usual);
  }
  return text + "}";
}

struct Case {
  const char* name;
  std::string key;
  std::string value;
};

TEST_CASE(
    "an odd entry of the store neither ends a node nor stops its reading") {
  const Case cases[] = {
      {"deeply nested lists", "servers/odd", Nested("[", "]")},
      {"deeply nested objects", "servers/odd", Nested("{\"a\":", "}")},
      {"deeply nested, not closed", "servers/odd", std::string(kNesting, '[')},
      {"a deeply nested field", "servers/odd",
       Entry("service", Nested("[", "]"))},
      {"a deeply nested field that isn't used", "servers/odd",
       Entry("version", Nested("[", "]"))},
      {"a number too large", "servers/odd", Entry("capacity", "1e999")},
      {"a whole number too large", "servers/odd",
       Entry("capacity", "99999999999999999999999")},
      {"a start too large", "servers/odd",
       Entry("born", "18446744073709551615")},
      {"a sequence too large", "servers/odd",
       Entry("sequence", "18446744073709551615")},
      {"a time too large", "servers/odd", Entry("coldLeftMs", "1e300")},
      {"a port out of range", "servers/odd",
       Entry("address", R"("127.0.0.1:70000")")},
      {"a port with a sign", "servers/odd",
       Entry("address", R"("127.0.0.1:-1")")},
      {"a name for an address", "servers/odd",
       Entry("address", R"("elsewhere.example:80")")},
      {"an address out of range", "servers/odd",
       Entry("address", R"("127.0.0.999:80")")},
      {"an address of another family", "servers/odd",
       Entry("address", R"("[::1]:80")")},
      {"a name that breaks lines", "servers/odd\r\nX-Smuggled: 1",
       Entry("", "")},
      {"a name with spaces", "servers/odd one", Entry("", "")},
      {"no name", "servers/", Entry("", "")},
      {"bytes that aren't text", "servers/odd", "\xff\xfe\x01"},
      {"a node with a name for an address", "nodes/odd",
       R"({"address":"127.0.0.1:9","domain":"west-a","region":"west",)"
       R"("peer":"elsewhere.example:80"})"},
      {"a deeply nested node", "nodes/odd", Nested("[", "]")},
      {"a deeply nested configuration", "op/config", Nested("[", "]")},
  };
  GatewayFixture fixture;
  REQUIRE(fixture.WaitUntilBackendsReady(2));
  const auto in_time = [&](const std::function<bool()>& done) {
    return standins::RunUntil(&fixture.loop, seconds(3), done);
  };
  for (const Case& c : cases) {
    CAPTURE(std::string(c.name));
    fixture.store.Put(c.key, c.value);
    // A change after the entry shows that it has been read.
    const ConfigVersion before = fixture.gateway->gateway().GetStats().version;
    fixture.store.Put("servers/i-last", Entry("", ""));
    CHECK(in_time([&] {
      return fixture.gateway->gateway().GetStats().backends_ready == 3;
    }));
    fixture.store.Remove("servers/i-last");
    CHECK(fixture.WaitUntilBackendsReady(2));
    CHECK(fixture.gateway->gateway().GetStats().version == before);
    CHECK(fixture.gateway->gateway().GetStats().nodes == 1);
    CHECK(fixture.SendAndWait(GatewayRequest("GET", "/look/a", "r"))
              ->LastStatus() == 200);
    if (c.key != "op/config") {
      fixture.store.Remove(c.key);
    }
  }
}

}  // namespace
}  // namespace comfreystand::platform
