#include "platform/decode.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>
#include <string>

namespace comfreystand::platform {
namespace {

using nlohmann::json;

const json kConfig = json::parse(R"({
  "version": "r7",
  "routes": {
    "book": {"host": "a.example", "prefix": "/book/", "kind": "non_idempotent",
             "timeoutMs": 1500, "goalMs": 400, "priority": 1,
             "service": "desk", "maxAttempts": 2, "sticky": true,
             "allowedRegions": ["west"]},
    "look": {"host": "a.example", "prefix": "/look/", "kind": "idempotent",
             "timeoutMs": 1200,
             "trafficSplit": [{"service": "desk", "weight": 90},
                              {"service": "other", "weight": 10},
                              {"service": "none", "weight": 0}]}},
  "services": {"desk": {"healthPath": "/health", "maxConns": 330,
                        "warmupS": 3.0, "coldPerS": 3.6},
               "other": {}},
  "limits": {"headerBytes": 16384, "bodyBytes": 67108864, "headerMs": 3000,
             "idleMs": 15000},
  "unknown": {"field": 1}})");

const json kBackend = json::parse(R"({
  "service": "desk", "address": "10.1.0.9:8080", "zone": "west-a",
  "version": "v1", "capacity": 3, "state": "ready", "coldLeftMs": 250,
  "sequence": 4, "born": 1764837000123})");

// Returns the field and the problem of a decoding error; "ok" without one.
template <typename Decode>
std::string ErrorOf(Decode decode) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(decode());
        return std::string("ok");
      },
      [](const DecodeError& error) {
        return error.field + " " + error.problem;
      },
      [] { return std::string("unknown error"); });
}

std::string ConfigError(const std::string& text) {
  return ErrorOf([&] { return DecodeConfig(text); });
}

std::string BackendError(const std::string& text) {
  return ErrorOf([&] { return DecodeBackend("i-1", text); });
}

TEST_CASE("decoding the operators' configuration") {
  SUBCASE("reads every field") {
    const TrafficConfig config = DecodeConfig(kConfig.dump()).value();
    CHECK(config.version.value == 7);
    REQUIRE(config.routes.size() == 2);
    const TrafficRoute& book = config.routes[0];
    CHECK(book.name == "book");
    CHECK(book.prefix == "/book/");
    CHECK_FALSE(book.idempotent);
    CHECK(book.time_limit == std::chrono::milliseconds(1'500));
    CHECK(book.goal == std::chrono::milliseconds(400));
    CHECK(book.rank == 1);
    CHECK(book.max_attempts == 2);
    CHECK(book.sticky);
    CHECK(book.home_regions == std::vector<std::string>{"west"});
    CHECK(book.services.size() == 1);
    const TrafficRoute& look = config.routes[1];
    CHECK(look.idempotent);
    // A service of weight zero is left out.
    REQUIRE(look.services.size() == 2);
    CHECK(look.services[0].weight == 90);
    CHECK_FALSE(look.sticky);
    REQUIRE(config.services.size() == 2);
    CHECK(config.services[0].max_connections == 330);
    CHECK(config.services[0].cold_time == std::chrono::seconds(3));
    CHECK(config.services[0].cold_rate == 3.6);
    CHECK(config.limits.idle_timeout == std::chrono::seconds(15));
  }
  SUBCASE("rejects the whole configuration and names the invalid field") {
    struct Case {
      const char* path;
      json value;
      const char* error;
    };
    const Case cases[] = {
        {"/version", 7, "version is not a non-empty string"},
        {"/version", "7", "version is not 'r' and a number"},
        {"/version", "r", "version is not 'r' and a number"},
        {"/version", "r1x", "version is not 'r' and a number"},
        {"/version", "r99999999999999999999",
         "version is not 'r' and a number"},
        {"/routes", json::array(), "routes is not an object"},
        {"/services", nullptr, "services is not an object"},
        {"/routes/book", 1, "routes.book is not an object"},
        {"/routes/book/host", "", "routes.book.host is not a non-empty string"},
        {"/routes/book/prefix", nullptr,
         "routes.book.prefix is not a non-empty string"},
        {"/routes/book/kind", "safe", "routes.book.kind is not a known kind"},
        {"/routes/book/service", nullptr,
         "routes.book.service is not a non-empty string"},
        {"/routes/book/timeoutMs", "1",
         "routes.book.timeoutMs is not a number"},
        {"/routes/book/timeoutMs", -1, "routes.book.timeoutMs is out of range"},
        {"/routes/book/maxAttempts", 0,
         "routes.book.maxAttempts is out of range"},
        {"/routes/book/maxAttempts", 1.5,
         "routes.book.maxAttempts is not a whole number"},
        {"/routes/book/priority", -1, "routes.book.priority is out of range"},
        {"/routes/book/sticky", "yes",
         "routes.book.sticky is not true or false"},
        {"/routes/book/allowedRegions", "west",
         "routes.book.allowedRegions is not a list"},
        {"/routes/look/trafficSplit/0/weight", -1,
         "routes.look.trafficSplit.weight is out of range"},
        {"/routes/look/trafficSplit/0", 5,
         "routes.look.trafficSplit has an entry that is not an object"},
        {"/services/desk/coldPerS", "many",
         "services.desk.coldPerS is not a number"},
        {"/limits/bodyBytes", "big", "limits.bodyBytes is not a whole number"},
    };
    for (const Case& c : cases) {
      json config = kConfig;
      config[json::json_pointer(c.path)] = c.value;
      CAPTURE(config.dump());
      CHECK(ConfigError(config.dump()) == c.error);
    }
  }
  SUBCASE("rejects a truncated document and one that is not a JSON object") {
    const std::string whole = kConfig.dump();
    for (size_t size = 0; size < whole.size(); size += 7) {
      CHECK(ConfigError(whole.substr(0, size)) == " is not a JSON object");
    }
    CHECK(ConfigError("[]") == " is not a JSON object");
    CHECK(ConfigError("\xff\xfe") == " is not a JSON object");
  }
}

TEST_CASE("decoding a backend server's registration") {
  SUBCASE("reads every field") {
    const BackendEntry entry = DecodeBackend("i-1", kBackend.dump()).value();
    CHECK(entry.name == "i-1");
    CHECK(entry.service == "desk");
    CHECK(entry.domain == "west-a");
    CHECK(entry.slots == 3);
    CHECK(entry.remaining_cold_time == std::chrono::milliseconds(250));
    CHECK(entry.started_at_ms == 1764837000123);
    CHECK(entry.state == BackendEntry::State::kReady);
  }
  SUBCASE("rejects a missing or invalid field") {
    struct Case {
      const char* field;
      json value;
      const char* error;
    };
    const Case cases[] = {
        {"service", 1, "service is not a non-empty string"},
        {"service", nullptr, "service is not a non-empty string"},
        {"address", "10.1.0.9", "address is not an address and a port"},
        {"address", "10.1.0.9:0", "address is not an address and a port"},
        {"address", "10.1.0.9:99999", "address is not an address and a port"},
        {"zone", nullptr, "zone is not a non-empty string"},
        {"state", "resting", "state is not a known state"},
        {"state", true, "state is not a non-empty string"},
        {"capacity", 0, "capacity is out of range"},
        {"capacity", "3", "capacity is not a whole number"},
        {"capacity", nullptr, "capacity is not a whole number"},
        {"coldLeftMs", "soon", "coldLeftMs is not a number"},
        {"coldLeftMs", nullptr, "coldLeftMs is not a number"},
        {"sequence", nullptr, "sequence is not a whole number"},
        {"sequence", 1.5, "sequence is not a whole number"},
        {"born", "today", "born is not a whole number"},
    };
    for (const Case& c : cases) {
      json entry = kBackend;
      entry[c.field] = c.value;
      CAPTURE(entry.dump());
      CHECK(BackendError(entry.dump()) == c.error);
    }
  }
  SUBCASE("accepts a registration without a start time") {
    json entry = kBackend;
    entry.erase("born");
    CHECK(DecodeBackend("i-1", entry.dump()).value().started_at_ms == 0);
  }
}

TEST_CASE("a node's registration survives encoding") {
  const NodeEntry node = {"n-1", "10.1.0.35:8144", "west-a", "west"};
  const NodeEntry decoded = DecodeNode("n-1", EncodeNode(node)).value();
  CHECK(decoded.name == node.name);
  CHECK(decoded.address == node.address);
  CHECK(decoded.domain == node.domain);
  CHECK(decoded.region == node.region);
  CHECK_FALSE(DecodeNode("n-1", R"({"address":"x","domain":"d"})"));
}

}  // namespace
}  // namespace comfreystand::platform
