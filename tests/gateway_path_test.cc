#include <doctest/doctest.h>
#include <event2/event.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "comfreystand/event_loop.h"
#include "comfreystand/http_client.h"
#include "comfreystand/platform_gateway.h"
#include "standins/instance.h"
#include "standins/store.h"
#include "tests/support/edge_world.h"

// A gateway with the platform's stand-ins and backend servers on one loop, from
// a caller's bytes to the backend server and back.
namespace comfreystand::platform {
namespace {

using standins::Instance;
using standins::Outage;
using testing::RawCaller;

constexpr char kConfig[] =
    R"({"version":"rVERSION","routes":{)"
    R"("look":{"host":"a.example","prefix":"/look/","kind":"idempotent",)"
    R"("timeoutMs":3000,"goalMs":300,"priority":2,"service":"desk",)"
    R"("maxAttempts":2,"sticky":true,"allowedRegions":[]},)"
    R"("book":{"host":"a.example","prefix":"/book/","kind":"non_idempotent",)"
    R"("timeoutMs":1000,"goalMs":300,"priority":1,"service":"desk",)"
    R"("maxAttempts":2,"sticky":false,"allowedRegions":[]}EXTRA},)"
    R"("services":{"desk":{"healthPath":"/health","maxConns":330,)"
    R"("warmupS":3.0,"coldPerS":3.6}},)"
    R"("limits":{"headerBytes":16384,"bodyBytes":1000000,"headerMs":3000,)"
    R"("idleMs":15000}})";

std::string Config(int version, const std::string& extra = {}) {
  std::string text = kConfig;
  text.replace(text.find("VERSION"), 7, std::to_string(version));
  text.replace(text.find("EXTRA"), 5, extra);
  return text;
}

constexpr char kExtraRoute[] =
    R"(,"more":{"host":"a.example","prefix":"/more/","kind":"idempotent",)"
    R"("timeoutMs":1200,"service":"desk"})";

class World {
 public:
  explicit World(int instances = 2) : store(&loop, "127.0.0.1:0") {
    store.Put("op/config", Config(1));
    for (int i = 0; i < instances; ++i) {
      servers.push_back(
          std::make_unique<Instance>(&loop, "i-" + std::to_string(i)));
      Register(*servers.back(), "ready", 1);
    }
    settings.name = "front-a-1";
    settings.domain = "west-a";
    settings.region = "west";
    settings.regions_of_domains = {{"west-a", "west"}, {"east-a", "east"}};
    settings.store_address.text = store.address();
    settings.resend_extra = 100;
    // A port that was free a moment ago may be taken by now.
    constexpr int kTries = 20;
    for (int i = 0; i < kTries && !started; ++i) {
      settings.traffic_address.text = FreeAddress();
      settings.readiness_address.text = FreeAddress();
      settings.directory_address.text = FreeAddress();
      settings.peer_address.text = FreeAddress();
      gateway = std::make_unique<PlatformGateway>(&loop, settings);
      std::string error;
      started = gateway->Start(&error);
    }
  }

  void Register(const Instance& server, const char* state, int born) {
    ++sequence;
    store.Put("servers/" + server.name(),
              R"({"service":"desk","address":")" + server.address() +
                  R"(","zone":"west-a","version":"v1","capacity":3,"state":")" +
                  state + R"(","coldLeftMs":0,"sequence":)" +
                  std::to_string(sequence) +
                  ",\"born\":" + std::to_string(born) + "}");
  }

  bool Until(const std::function<bool()>& done) {
    constexpr std::chrono::seconds kPatience{20};
    const SystemClock clock;
    const TimePoint end = clock.Now() + kPatience;
    while (!done() && clock.Now() < end) {
      loop.PostDelayed(std::chrono::milliseconds(2), [this] { loop.Stop(); });
      loop.Run();
    }
    return done();
  }

  bool UntilReady() {
    return Until([this] { return gateway->gateway().Ready(); });
  }

  http::Response Ask(const std::string& address, const std::string& target) {
    http::Client client(loop.base(), address);
    http::Request request;
    request.target = target;
    http::Response response;
    client.Call(request, [&](const http::Response& answer) {
      response = answer;
      loop.Stop();
    });
    loop.Run();
    return response;
  }

  std::unique_ptr<RawCaller> Call(const std::string& bytes) {
    const std::string& address = settings.traffic_address.text;
    const auto port = static_cast<uint16_t>(
        std::stoi(address.substr(address.rfind(':') + 1)));
    auto caller = std::make_unique<RawCaller>(loop.base(), port);
    caller->Send(bytes);
    return caller;
  }

  // Sends a request and waits for its answer.
  std::unique_ptr<RawCaller> Fetch(const std::string& bytes) {
    auto caller = Call(bytes);
    Until([&] { return caller->Answers() == 1 || caller->closed(); });
    return caller;
  }

  int Runs(const std::string& id) const {
    int runs = 0;
    for (const auto& server : servers) {
      runs += server->Runs(id);
    }
    return runs;
  }
  int AllRuns() const {
    int runs = 0;
    for (const auto& server : servers) {
      runs += server->runs();
    }
    return runs;
  }

  EventLoop loop;
  standins::Store store;
  std::vector<std::unique_ptr<Instance>> servers;
  gateway::GatewaySettings settings;
  std::unique_ptr<PlatformGateway> gateway;
  bool started = false;
  int sequence = 0;

  // A port that was free a moment ago.
  std::string FreeAddress() {
    const standins::Store probe(&loop, "127.0.0.1:0");
    return probe.address();
  }
};

std::string Request(const std::string& method,
                    const std::string& target,
                    const std::string& id,
                    const std::string& headers = {},
                    const std::string& body = {}) {
  std::string text = method + " " + target +
                     " HTTP/1.1\r\nHost: a.example\r\n"
                     "Comfreystand-Request-Id: " +
                     id + "\r\n" + headers;
  if (!body.empty()) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

TEST_CASE("a gateway that starts") {
  World world;
  REQUIRE(world.started);
  CHECK(world.Ask(world.settings.readiness_address.text, "/v1/readiness")
            .status == 503);
  REQUIRE(world.UntilReady());
  SUBCASE("is ready once it knows its configuration and backend servers") {
    CHECK(world.Ask(world.settings.readiness_address.text, "/v1/readiness")
              .status == 200);
  }
  SUBCASE("registers itself and sends callers to itself") {
    REQUIRE(world.Until([&] { return world.store.Has("nodes/front-a-1"); }));
    const http::Response answer =
        world.Ask(world.settings.directory_address.text,
                  "/v1/resolve?name=a.example&region=west&zone=west-a");
    CHECK(answer.status == 200);
    CHECK(answer.body == R"({"addresses":[")" +
                             world.settings.traffic_address.text +
                             R"("],"ttlS":2.0})");
  }
}

TEST_CASE("a request through a gateway") {
  World world;
  REQUIRE(world.UntilReady());
  SUBCASE("reaches a backend server unchanged, with its terms") {
    const auto caller = world.Fetch(Request(
        "POST", "/look/2f?q=%20a&", "r1",
        "Comfreystand-Deadline-Ms: 2500\r\nX-Own: kept\r\n", "the body"));
    CHECK(caller->Status() == 200);
    CHECK(caller->Has("Comfreystand-Request-Id: r1"));
    CHECK(caller->Has("Comfreystand-Server-Stamp: i-"));
    const Instance& server =
        world.servers[0]->runs() > 0 ? *world.servers[0] : *world.servers[1];
    CHECK(server.last_target() == "/look/2f?q=%20a&");
    CHECK(server.last_body() == "the body");
    CHECK(server.LastHeader("Host") == "a.example");
    CHECK(server.LastHeader("X-Own") == "kept");
    CHECK(server.LastHeader("Comfreystand-Expect-Instance") == server.name());
    CHECK(std::stoi(server.LastHeader("Comfreystand-Deadline-Ms")) <= 2'500);
  }
  SUBCASE("behind others on one connection runs beside them") {
    const auto caller = world.Call(Request("GET", "/look/a?work_ms=300", "r1") +
                                   Request("GET", "/look/b?work_ms=1", "r2") +
                                   Request("GET", "/look/c?work_ms=1", "r3"));
    REQUIRE(world.Until([&] { return world.Runs("r3") == 1; }));
    CHECK(caller->Answers() == 0);
    CHECK(world.Until([&] { return caller->Answers() == 3; }));
    CHECK(caller->received().find("Id: r1") <
          caller->received().find("Id: r2"));
    CHECK(caller->received().find("Id: r2") <
          caller->received().find("Id: r3"));
  }
  SUBCASE("for what no route matches is not found, and nothing runs") {
    CHECK(world.Fetch(Request("GET", "/none/x", "r1"))->Status() == 404);
    CHECK(world.AllRuns() == 0);
  }
  SUBCASE("gets answers of any framing whole") {
    for (const char* framing : {"", "&chunked=1", "&unframed=1"}) {
      CAPTURE(std::string(framing));
      const auto caller = world.Fetch(
          Request("GET", std::string("/look/x?bytes=0") + framing, "r1"));
      CHECK(caller->Status() == 200);
      CHECK(world.Until([&] { return caller->Has("xxxx"); }));
    }
  }
  SUBCASE("never sees the second answer to an earlier one") {
    for (int i = 0; i < 6; ++i) {
      const std::string id = "r" + std::to_string(i);
      const auto caller =
          world.Fetch(Request("GET", "/look/same?extra=1", id,
                              "Cookie: Comfreystand-Affinity-Key=1\r\n"));
      CHECK(caller->Status() == 200);
      CHECK(caller->Has("Request-Id: " + id));
      CHECK(caller->Answers() == 1);
    }
  }
}

TEST_CASE("a request reaches a backend server unchanged wherever it is cut") {
  World world(1);
  REQUIRE(world.UntilReady());
  const std::string target = "/look/de46/15b?x=1&y=/z";
  const std::string whole =
      Request("POST", target, "r1", "Connection: close\r\n", "the body");
  for (size_t cut = 1; cut < whole.size(); ++cut) {
    CAPTURE(cut);
    const auto caller = world.Call(whole.substr(0, cut));
    // The gateway has read the first part before the second is sent.
    for (int turn = 0; turn < 3; ++turn) {
      world.loop.PostDelayed(std::chrono::milliseconds(1),
                             [&world] { world.loop.Stop(); });
      world.loop.Run();
    }
    caller->Send(whole.substr(cut));
    REQUIRE(world.Until([&] { return caller->closed(); }));
    CHECK(caller->Status() == 200);
    CHECK(world.servers[0]->last_target() == target);
    CHECK(world.servers[0]->last_body() == "the body");
  }
}

TEST_CASE("work that must run once") {
  World world;
  REQUIRE(world.UntilReady());
  struct Case {
    const char* name;
    const char* query;
    int status;
    int runs;
  };
  const Case cases[] = {
      {"answered", "", 200, 1},
      {"answered with an error", "?status=500", 500, 1},
      {"cut off in its answer", "?cut=2", 502, 1},
      {"without a signature", "?stamp=0", 502, 1},
      {"longer than its route allows", "?work_ms=5000", 504, 1},
  };
  for (const Case& c : cases) {
    CAPTURE(std::string(c.name));
    const std::string id = std::string("r-") + c.name[0] + c.query;
    const auto caller =
        world.Fetch(Request("POST", std::string("/book/x") + c.query, id));
    CHECK(caller->Status() == c.status);
    CHECK(world.Runs(id) == c.runs);
  }
  SUBCASE("is refused as not run only when every backend server said so") {
    for (const auto& server : world.servers) {
      server->behaviour().shedding = true;
    }
    const auto caller = world.Fetch(Request("POST", "/book/x", "shed"));
    CHECK(caller->Status() == 503);
    CHECK(caller->Has("Retry-After: "));
    CHECK(world.Runs("shed") == 0);
  }
}

TEST_CASE("work that may be repeated is tried elsewhere") {
  World world;
  REQUIRE(world.UntilReady());
  SUBCASE("when an answer breaks off") {
    const auto caller = world.Fetch(Request("GET", "/look/x?cut=2", "r1"));
    CHECK(world.Runs("r1") == 2);
    CHECK(caller->Status() == 502);
  }
  SUBCASE("when a backend server fails it, and the last error is passed on") {
    const auto caller = world.Fetch(Request("GET", "/look/x?status=500", "r1"));
    CHECK(world.Runs("r1") == 2);
    CHECK(caller->Status() == 500);
  }
  SUBCASE("when one refuses it") {
    world.servers[0]->behaviour().shedding = true;
    for (int i = 0; i < 8; ++i) {
      CHECK(world.Fetch(Request("GET", "/look/" + std::to_string(i), "r"))
                ->Status() == 200);
    }
  }
}

TEST_CASE("a caller that leaves has its work cancelled") {
  World world;
  REQUIRE(world.UntilReady());
  auto caller = world.Call(Request("GET", "/look/x?work_ms=60000", "r1"));
  REQUIRE(world.Until([&] { return world.Runs("r1") == 1; }));
  caller->Close();
  CHECK(world.Until([&] {
    return world.servers[0]->cancelled() + world.servers[1]->cancelled() == 1;
  }));
}

TEST_CASE("backend servers come and go") {
  World world;
  REQUIRE(world.UntilReady());
  const auto served_by = [&](int index, int requests) {
    const int before = world.servers[static_cast<size_t>(index)]->runs();
    for (int i = 0; i < requests; ++i) {
      world.Fetch(Request("GET", "/look/" + std::to_string(i), "r"));
    }
    return world.servers[static_cast<size_t>(index)]->runs() - before;
  };
  const auto ready = [&] {
    return world.gateway->gateway().GetStats().backends_ready;
  };
  SUBCASE("one that drains gets no more work") {
    world.Register(*world.servers[0], "draining", 1);
    REQUIRE(world.Until([&] { return ready() == 1; }));
    CHECK(served_by(0, 12) == 0);
    SUBCASE("and works again in its next life") {
      world.Register(*world.servers[0], "ready", 2);
      REQUIRE(world.Until([&] { return ready() == 2; }));
      CHECK(served_by(0, 12) > 0);
    }
  }
  SUBCASE("one whose registration ends gets no more work") {
    world.store.Remove("servers/i-0");
    REQUIRE(world.Until([&] { return ready() == 1; }));
    CHECK(served_by(0, 12) == 0);
  }
  SUBCASE("an address that another one has now is noticed, and nothing runs") {
    // i-9 is registered at the address of i-0.
    const Instance impostor(&world.loop, "i-9");
    world.store.Put(
        "servers/i-9",
        R"({"service":"desk","address":")" + world.servers[0]->address() +
            R"(","zone":"west-a","version":"v1","capacity":3,)" +
            R"("state":"ready","coldLeftMs":0,"sequence":1,"born":1})");
    REQUIRE(world.Until([&] { return ready() == 3; }));
    for (int i = 0; i < 12; ++i) {
      CHECK(world.Fetch(Request("POST", "/book/" + std::to_string(i), "r"))
                ->Status() == 200);
    }
  }
  SUBCASE("a registration that can't be read disturbs nothing") {
    for (const char* value :
         {"", "{", "[]", R"({"service":7})", R"({"state":"resting"})"}) {
      world.store.Put("servers/odd", value);
      world.store.Put("servers/i-0", value);
      CHECK(world.Fetch(Request("GET", "/look/x", "r"))->Status() == 200);
    }
    CHECK(ready() == 2);
  }
  SUBCASE("an evacuated domain gets nothing until it is taken back") {
    world.store.Put("op/evacuate/west-a", "{}");
    REQUIRE(world.Until([&] {
      return world.Fetch(Request("GET", "/look/x", "r"))->Status() == 503;
    }));
    const int runs = world.AllRuns();
    CHECK(world.Fetch(Request("GET", "/look/x", "r"))->Status() == 503);
    CHECK(world.AllRuns() == runs);
    world.store.Remove("op/evacuate/west-a");
    CHECK(world.Until([&] {
      return world.Fetch(Request("GET", "/look/x", "r"))->Status() == 200;
    }));
  }
}

TEST_CASE("a configuration") {
  World world;
  REQUIRE(world.UntilReady());
  const auto version = [&] {
    return world.gateway->gateway().GetStats().version.value;
  };
  SUBCASE("is in force once the store has it") {
    world.store.Put("op/config", Config(5, kExtraRoute));
    REQUIRE(world.Until([&] { return version() == 5; }));
    CHECK(world.Fetch(Request("GET", "/more/x", "r"))->Status() == 200);

    SUBCASE("and never gives way to an older one") {
      world.store.Put("op/config", Config(4));
      world.store.Put("op/evacuate/east-a", "{}");
      world.Fetch(Request("GET", "/look/x", "r"));
      CHECK(version() == 5);
      CHECK(world.Fetch(Request("GET", "/more/x", "r"))->Status() == 200);
    }
    SUBCASE("and stays when the next one can't be read") {
      world.store.Put("op/config", Config(6).substr(0, 200));
      world.store.Put("op/config", R"({"version":"r7"})");
      world.Fetch(Request("GET", "/look/x", "r"));
      CHECK(version() == 5);
      world.store.Put("op/config", Config(8));
      CHECK(world.Until([&] { return version() == 8; }));
    }
  }
  SUBCASE("and backend servers hold while the store is away") {
    world.store.SetFaults({.outage = Outage::kBusy});
    REQUIRE(world.Until(
        [&] { return world.gateway->gateway().GetStats().store_lost; }));
    CHECK(world.gateway->gateway().Ready());
    CHECK(world.Fetch(Request("GET", "/look/x", "r"))->Status() == 200);
    world.store.SetFaults({});
    world.store.Put("op/config", Config(9));
    CHECK(world.Until([&] { return version() == 9; }));
  }
}

TEST_CASE("a node that starts while the store is away") {
  World world;
  REQUIRE(world.UntilReady());
  world.store.Put("op/evacuate/east-a", "{}");
  world.store.SetFaults({.outage = Outage::kSilent});
  gateway::GatewaySettings settings = world.settings;
  settings.name = "front-a-2";
  settings.peer_address.text = {};
  // The first seed is stale.
  settings.seeds = {{"127.0.0.1:1"}, world.settings.peer_address};
  std::unique_ptr<PlatformGateway> started;
  for (int i = 0; i < 20; ++i) {
    settings.traffic_address.text = world.FreeAddress();
    settings.readiness_address.text = world.FreeAddress();
    settings.directory_address.text = world.FreeAddress();
    started = std::make_unique<PlatformGateway>(&world.loop, settings);
    std::string error;
    if (started->Start(&error)) {
      break;
    }
    started.reset();
  }
  REQUIRE(started);
  PlatformGateway& late = *started;
  SUBCASE("takes what it needs from a node that runs") {
    REQUIRE(world.Until([&] { return late.gateway().Ready(); }));
    CHECK(late.gateway().GetStats().version.value == 1);
    CHECK(late.gateway().GetStats().backends_ready == 2);

    SUBCASE("and follows the store from there once it is back") {
      world.store.SetFaults({});
      world.store.Put("op/config", Config(5, kExtraRoute));
      CHECK(world.Until(
          [&] { return late.gateway().GetStats().version.value == 5; }));
      CHECK(world.Until([&] { return world.store.Has("nodes/front-a-2"); }));
    }
  }
}

TEST_CASE("a planned stop") {
  World world;
  REQUIRE(world.UntilReady());
  REQUIRE(world.Until([&] { return world.store.Has("nodes/front-a-1"); }));
  const auto running =
      world.Call(Request("GET", "/look/x?work_ms=200", "running"));
  REQUIRE(world.Until([&] { return world.Runs("running") == 1; }));
  bool stopped = false;
  world.gateway->BeginStop([&] { stopped = true; });
  SUBCASE("takes the node out of look-ups at once") {
    CHECK(world.Until([&] { return !world.store.Has("nodes/front-a-1"); }));
    CHECK(world.Ask(world.settings.readiness_address.text, "/v1/readiness")
              .status == 503);
  }
  SUBCASE("serves what comes before callers have turned elsewhere") {
    const auto late = world.Fetch(Request("GET", "/look/y", "late"));
    CHECK(late->Status() == 200);
    CHECK(late->Has("Connection: close"));
  }
  CHECK(world.Until([&] { return running->Answers() == 1; }));
  CHECK(running->Status() == 200);
  CHECK(world.Until([&] { return stopped; }));
}

}  // namespace
}  // namespace comfreystand::platform
