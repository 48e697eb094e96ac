#include <doctest/doctest.h>
#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "comfreystand/admin.h"
#include "comfreystand/event_loop.h"
#include "tests/support/raw_http.h"

namespace comfreystand::admin {
namespace {

using Json = nlohmann::json;
using platform::AcceptResult;
using platform::AcceptStatus;
using testing::BodyOf;
using testing::SendAndReceive;
using testing::StatusOf;

constexpr std::string_view kRuleText =
    "region r # asked by ops: first\n"
    "domain d in r entry-vms 1 # asked by ops: place\n"
    "site s in d weight 1 # asked by ops: answers\n";

// Completes every change with `result`: immediately or, if `complete_later` is
// set, after a delay of one millisecond.
class FakeBackend final : public AdminBackend {
 public:
  explicit FakeBackend(EventLoop* loop) : loop_(loop) {}

  std::optional<RuleDocument> ActiveRules() override { return document; }

  void Propose(const platform::ChangeOrigin& origin,
               std::string text,
               platform::AcceptCallback done) override {
    last_origin = origin;
    last_text = std::move(text);
    Complete(std::move(done));
  }

  void ApplyChangeAction(ChangeAction action,
                         const platform::ChangeOrigin& origin,
                         platform::AcceptCallback done) override {
    last_action = action;
    last_origin = origin;
    Complete(std::move(done));
  }

  void ReadHistory(RuleVersion from,
                   size_t count,
                   platform::HistoryCallback done) override {
    last_from = from;
    last_count = count;
    done(history_status, {{RuleVersion{7}, RuleVersion{6}, "id", "kavi", "desk",
                           WallSeconds{9}, "+x\n"}});
  }

  StatusSnapshot Status() override { return snapshot; }

  std::optional<RuleDocument> document;
  AcceptResult result;
  bool complete_later = false;
  platform::StoreStatus history_status = platform::StoreStatus::kOk;
  StatusSnapshot snapshot;
  platform::ChangeOrigin last_origin;
  std::string last_text;
  std::optional<ChangeAction> last_action;
  RuleVersion last_from;
  size_t last_count = 0;

 private:
  void Complete(platform::AcceptCallback done) {
    if (!complete_later) {
      done(result);
      return;
    }
    loop_->PostDelayed(Duration(1'000),
                       [done, answer = result] { done(answer); });
  }

  EventLoop* loop_;
};

class AdminFixture {
 public:
  AdminFixture() : backend_(&loop_) {
    RuleDocument document;
    document.version.value = 7;
    document.text = kRuleText;
    document.baseline_version.value = 6;
    backend_.document = document;
    backend_.result.status = AcceptStatus::kAccepted;
    backend_.result.version.value = 8;
    AdminInit init;
    init.tokens = {{"kavi", Sha256Hex("secret")}, {"ann", Sha256Hex("other")}};
    init.max_body_bytes = 10'000;
    std::string error;
    server_ = AdminServer::Create(loop_.base(), init, &backend_, &error);
    REQUIRE_MESSAGE(server_, error);
  }

  std::string SendRaw(std::string_view bytes) {
    return SendAndReceive(&loop_, server_->Port(), bytes);
  }

  std::string Get(const std::string& path) {
    return SendRaw(
        "GET " + path +
        " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n\r\n");
  }

  std::string Post(const std::string& path, const std::string& body) {
    return SendRaw("POST " + path +
                   " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n"
                   "Content-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  EventLoop loop_;
  FakeBackend backend_;
  std::unique_ptr<AdminServer> server_;
};

Json ChangeBody() {
  return {{"expected_version", 7},
          {"change_id", "c-1"},
          {"requested_by", "temple desk"},
          {"text", kRuleText}};
}

TEST_CASE_FIXTURE(AdminFixture, "proposing rules over the API") {
  SUBCASE("passes the change to the node with the token's holder") {
    const std::string answer = Post("/v1/rules", ChangeBody().dump());
    CHECK(StatusOf(answer) == 200);
    CHECK(Json::parse(BodyOf(answer))["version"] == 8);
    CHECK(backend_.last_origin.proposed_by == "kavi");
    CHECK(backend_.last_origin.requested_by == "temple desk");
    CHECK(backend_.last_origin.change_id == "c-1");
    CHECK(backend_.last_origin.expected_version == RuleVersion{7});
    CHECK(backend_.last_text == kRuleText);
  }
  SUBCASE("answers when the result arrives later") {
    backend_.complete_later = true;
    CHECK(StatusOf(Post("/v1/rules", ChangeBody().dump())) == 200);
  }
  SUBCASE("survives a caller that disconnects before the result") {
    backend_.complete_later = true;
    const std::string body = ChangeBody().dump();
    SendAndReceive(&loop_, server_->Port(),
                   "POST /v1/rules HTTP/1.1\r\nAuthorization: Bearer secret\r\n"
                   "Content-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body,
                   testing::AfterSend::kCloseImmediately);
    CHECK(StatusOf(Get("/v1/rules")) == 200);
  }
  SUBCASE("maps each result to its HTTP status") {
    const std::pair<AcceptStatus, int> outcomes[] = {
        {AcceptStatus::kConflict, 409},   {AcceptStatus::kInvalid, 422},
        {AcceptStatus::kTooLarge, 413},   {AcceptStatus::kUnavailable, 503},
        {AcceptStatus::kUnresolved, 504}, {AcceptStatus::kDamaged, 500}};
    backend_.result.diff = "-a\n+b\n";
    backend_.result.errors = {{3, 4, "unknown", "region", "site"}};
    for (const auto& outcome : outcomes) {
      const int code = outcome.second;
      CAPTURE(code);
      backend_.result.status = outcome.first;
      const std::string answer = Post("/v1/rules", ChangeBody().dump());
      CHECK(StatusOf(answer) == code);
      const Json json = Json::parse(BodyOf(answer));
      CHECK(json["diff"] == "-a\n+b\n");
      CHECK(json["errors"][0]["line"] == 3);
    }
  }
}

TEST_CASE_FIXTURE(AdminFixture, "reading over the API") {
  CHECK(Json::parse(BodyOf(Get("/v1/rules")))["text"] == kRuleText);
  CHECK(Json::parse(BodyOf(Get("/v1/rules/diff")))["to_version"] == 7);
  const Json history = Json::parse(BodyOf(Get("/v1/history?from=5&count=3")));
  CHECK(history["entries"][0]["requested_by"] == "desk");
  CHECK_FALSE(history["entries"][0].contains("diff"));
  CHECK(backend_.last_from == RuleVersion{5});
  CHECK(backend_.last_count == 3);
  const Json audit = Json::parse(BodyOf(Get("/v1/audit")));
  CHECK(audit["entries"][0]["diff"] == "+x\n");
  CHECK(Json::parse(BodyOf(Get("/v1/status"))).contains("regions"));
  SUBCASE("answers 503 when nothing can be read") {
    backend_.document.reset();
    backend_.history_status = platform::StoreStatus::kUnavailable;
    for (const char* path : {"/v1/rules", "/v1/rules/diff", "/v1/audit"}) {
      CHECK(StatusOf(Get(path)) == 503);
    }
  }
}

TEST_CASE_FIXTURE(AdminFixture, "draining over the API") {
  Json body = {{"change_id", "d-1"},
               {"requested_by", "ops"},
               {"scope", "backend"},
               {"target", "desk-1"},
               {"reason", "new disk"}};
  const std::string line = "drain backend desk-1 # asked by ops: new disk\n";
  SUBCASE("adds a rule to the active rule file") {
    CHECK(StatusOf(Post("/v1/drain", body.dump())) == 200);
    CHECK(backend_.last_text == std::string(kRuleText) + line);
    CHECK(backend_.last_origin.expected_version == RuleVersion{7});
    CHECK(ParseRules(backend_.last_text).rules.has_value());
  }
  SUBCASE("removes the rule with undo") {
    backend_.document->text += line;
    body["undo"] = true;
    CHECK(StatusOf(Post("/v1/drain", body.dump())) == 200);
    CHECK(backend_.last_text == kRuleText);
  }
  SUBCASE("answers 404 when there is no rule to remove") {
    body["undo"] = true;
    CHECK(StatusOf(Post("/v1/drain", body.dump())) == 404);
  }
  SUBCASE("conflicts when another version was expected") {
    body["expected_version"] = 6;
    CHECK(StatusOf(Post("/v1/drain", body.dump())) == 409);
    CHECK(backend_.last_text.empty());
  }
  SUBCASE("refuses a reason that would start another rule") {
    body["reason"] = "x\nregion y # asked by z: w";
    CHECK(StatusOf(Post("/v1/drain", body.dump())) == 400);
    CHECK(backend_.last_text.empty());
  }
}

TEST_CASE_FIXTURE(AdminFixture, "acting on the change in progress") {
  Json body = ChangeBody();
  body["action"] = "halt";
  CHECK(StatusOf(Post("/v1/change", body.dump())) == 200);
  CHECK(backend_.last_action == ChangeAction::kHalt);
  body["action"] = "stop";
  CHECK(StatusOf(Post("/v1/change", body.dump())) == 400);
}

TEST_CASE_FIXTURE(AdminFixture, "a request without a valid token") {
  struct Case {
    const char* line;
    const char* header;
  };
  const Case cases[] = {
      {"GET /v1/rules", ""},
      {"GET /v1/rules", "Authorization: Bearer wrong\r\n"},
      {"GET /v1/rules", "Authorization: Bearer \r\n"},
      {"GET /v1/rules", "Authorization: Bearer secre\r\n"},
      {"GET /v1/rules", "Authorization: Basic secret\r\n"},
      {"GET /v1/rules", "Authorization: secret\r\n"},
      {"POST /v1/rules", "Content-Length: 2\r\n"},
      {"DELETE /v1/rules", ""},
      {"GET /nowhere", ""},
      {"POST /", "Content-Length: 0\r\n"},
  };
  uint64_t count = 0;
  for (const Case& bad : cases) {
    CAPTURE(bad.line);
    CAPTURE(bad.header);
    const std::string answer =
        SendRaw(std::string(bad.line) + " HTTP/1.1\r\nHost: x\r\n" +
                bad.header + "\r\n{}");
    CHECK(StatusOf(answer) == 401);
    CHECK(answer.find("WWW-Authenticate: Bearer") != std::string::npos);
    CHECK(server_->Stats().unauthorized == ++count);
  }
  CHECK(backend_.last_text.empty());
}

TEST_CASE_FIXTURE(AdminFixture, "bad input to the API") {
  SUBCASE("in a body is answered 400") {
    Json no_version = ChangeBody();
    no_version.erase("expected_version");
    Json bad_id = ChangeBody();
    bad_id["change_id"] = std::string(1'000, 'x');
    Json bad_text = ChangeBody();
    bad_text["text"] = 5;
    Json negative = ChangeBody();
    negative["expected_version"] = -1;
    const std::string bodies[] = {"",
                                  "{",
                                  "[]",
                                  "null",
                                  "{\"a\":\"\xff\"}",
                                  std::string(5'000, '['),
                                  no_version.dump(),
                                  bad_id.dump(),
                                  bad_text.dump(),
                                  negative.dump()};
    for (const std::string& body : bodies) {
      CAPTURE(body);
      CHECK(StatusOf(Post("/v1/rules", body)) == 400);
    }
  }
  SUBCASE("in a path, query or method has its own status") {
    CHECK(StatusOf(Get("/v1/nothing")) == 404);
    CHECK(StatusOf(Get("/v1/rules/")) == 404);
    CHECK(StatusOf(Get("/v1/audit?from=x")) == 400);
    CHECK(StatusOf(Get("/v1/audit?count=1000")) == 400);
    const std::string wrong = Get("/v1/drain");
    CHECK(StatusOf(wrong) == 405);
    CHECK(wrong.find("Allow: POST\r\n") != std::string::npos);
  }
  SUBCASE("that is too large is refused") {
    CHECK(StatusOf(Post("/v1/rules", std::string(10'001, ' '))) == 413);
    CHECK(StatusOf(Get("/v1/rules")) == 200);
  }
  SUBCASE("that is not HTTP is answered 400 or closed") {
    const std::string cases[] = {
        "\r\n\r\n\x16\x03\x01 tls?",
        "GET\r\n\r\n",
        "GET / HTTP/9.9.9\r\n\r\n",
        "POST /v1/rules HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        std::string("GET \0 HTTP/1.1\r\n\r\n", 18),
    };
    for (const std::string& bytes : cases) {
      CAPTURE(bytes);
      const int status = StatusOf(SendRaw(bytes));
      CHECK((status == 400 || status == 0));
    }
    CHECK(StatusOf(Get("/v1/rules")) == 200);
    CHECK(server_->Stats().connections <= 1);
  }
  SUBCASE("with headers above the limit is answered 431") {
    std::string headers;
    for (int i = 0; i < 10; ++i) {
      headers +=
          "X-" + std::to_string(i) + ": " + std::string(2'000, 'x') + "\r\n";
    }
    CHECK(StatusOf(SendRaw("GET / HTTP/1.1\r\n" + headers + "\r\n")) == 431);
  }
  SUBCASE("with one header above the parser's limit is refused") {
    const std::string answer = SendRaw(
        "GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n");
    CHECK(StatusOf(answer) != 200);
    CHECK(StatusOf(Get("/v1/rules")) == 200);
  }
  SUBCASE("that is pipelined is answered in order") {
    const std::string get =
        "GET /v1/rules HTTP/1.1\r\nAuthorization: Bearer secret\r\n\r\n";
    CHECK(StatusOf(SendRaw(get + get)) == 200);
    CHECK(StatusOf(Get("/v1/rules")) == 200);
  }
}

TEST_CASE_FIXTURE(AdminFixture, "the status page") {
  StatusSnapshot& status = backend_.snapshot;
  status.cluster = "float <keepers>";
  status.ready = true;
  status.regions = {{"western", Slots{48}, Slots{12}, Fraction{0.5}, true}};
  status.entry_vms = {{"western-a-1", "western", "western-a", "10.0.0.1:80",
                       NodeState::kSuspect, RuleVersion{7}, Duration(2'500)}};
  status.backends = {{"bay-desk", "western-a", 3, 2, 1, 0, Slots{9}, Slots{4}}};
  status.changes = {{RuleVersion{6}, RuleVersion{7}, WallSeconds{0},
                     Fraction{0.25}, Fraction{0.02}, Fraction{0.1}, false,
                     false}};
  status.hours = {{WallSeconds{0}, Fraction{0.9995}, ""},
                  {WallSeconds{3'600}, std::nullopt, "store lost & found"}};
  const std::string answer = SendRaw("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  SUBCASE("needs no token") {
    CHECK(StatusOf(answer) == 200);
    CHECK(server_->Stats().unauthorized == 0);
  }
  SUBCASE("shows regions, entry VMs, backend servers, changes and hours") {
    for (const char* part :
         {"western-a-1", "bay-desk", "draining", "suspect", "6 to 7",
          "width:25.0%", "99.950%", "no value, store lost &amp; found"}) {
      CAPTURE(part);
      CHECK(answer.find(part) != std::string::npos);
    }
  }
  SUBCASE("escapes values and loads no resources") {
    CHECK(answer.find("float &lt;keepers&gt;") != std::string::npos);
    CHECK(answer.find("<script") == std::string::npos);
    CHECK(answer.find("src=") == std::string::npos);
    CHECK(answer.find("http-equiv=\"refresh\"") != std::string::npos);
  }
}

TEST_CASE("hours without a value on the status page") {
  StatusSnapshot snapshot;
  constexpr int64_t kHour = 3'600;
  for (int64_t hour = 0; hour < 5; ++hour) {
    HourStatus status;
    status.start = WallSeconds{hour * kHour};
    status.reason = hour < 3 ? "no report from north" : "store damaged";
    snapshot.hours.push_back(status);
  }
  const std::string page = RenderStatusPage(snapshot);

  SUBCASE("share one line when consecutive hours have the same reason") {
    CHECK(page.find("<li>1970-01-01 00:00 UTC to 1970-01-01 02:00 UTC: "
                    "no report from north</li>") != std::string::npos);
  }
  SUBCASE("start a new line when the reason changes") {
    CHECK(page.find("<li>1970-01-01 03:00 UTC to 1970-01-01 04:00 UTC: "
                    "store damaged</li>") != std::string::npos);
  }
}

TEST_CASE("the metrics endpoint") {
  EventLoop loop;
  auto registry = std::make_shared<prometheus::Registry>();
  prometheus::BuildCounter()
      .Name("comfreystand_test_total")
      .Help("A test.")
      .Register(*registry)
      .Add({{"kind", "x"}})
      .Increment(3);
  std::string error;
  const auto server =
      MetricsServer::Create(loop.base(), "127.0.0.1:0", {registry}, &error);
  REQUIRE_MESSAGE(server, error);
  const auto status = [&](const std::string& line) {
    return StatusOf(SendAndReceive(&loop, server->Port(),
                                   line + " HTTP/1.1\r\nHost: x\r\n"
                                          "Connection: close\r\n\r\n"));
  };
  CHECK(SendAndReceive(&loop, server->Port(),
                       "GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n")
            .find("comfreystand_test_total{kind=\"x\"} 3") !=
        std::string::npos);
  CHECK(status("GET /metrics") == 200);
  CHECK(status("GET /other") == 404);
  CHECK(status("POST /metrics") == 501);
  CHECK(status("garbage") == 400);
}

TEST_CASE("a server that can't listen reports the error") {
  EventLoop loop;
  FakeBackend backend(&loop);
  AdminInit init;
  std::string error;
  init.address = "nowhere";
  CHECK_FALSE(AdminServer::Create(loop.base(), init, &backend, &error));
  CHECK(error == "can't listen on nowhere");
  init.address = "127.0.0.1:0";
  init.certificate = "/nonexistent.pem";
  CHECK_FALSE(AdminServer::Create(loop.base(), init, &backend, &error));
  CHECK(error == "can't read the certificate /nonexistent.pem");
  CHECK_FALSE(MetricsServer::Create(loop.base(), "nowhere", {}, &error));
}

}  // namespace
}  // namespace comfreystand::admin
