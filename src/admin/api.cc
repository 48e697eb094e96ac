#include "src/admin/api.h"

#include <array>
#include <charconv>
#include <utility>

#include "src/admin/drain_edit.h"
#include "src/admin/json.h"

namespace comfreystand::admin {
namespace {

using platform::AcceptResult;
using platform::AcceptStatus;
using platform::StoreStatus;

constexpr std::string_view kBearerPrefix = "Bearer ";

// HTTP status codes, indexed by AcceptStatus.
constexpr std::array<int, 7> kHttpStatusCodes = {200, 409, 422, 413,
                                                 503, 504, 500};

ApiReply JsonReply(int status, const Json& json) {
  ApiReply reply;
  reply.status = status;
  reply.body = Dump(json);
  if (status == 503 || status == 504) {
    reply.headers["Retry-After"] = "1";
  }
  return reply;
}

ApiReply ErrorReply(int status, const std::string& message) {
  return JsonReply(status, {{"error", message}});
}

ApiReply ChangeReply(const AcceptResult& result) {
  return JsonReply(kHttpStatusCodes[static_cast<size_t>(result.status)],
                   ToJson(result));
}

platform::AcceptCallback MakeAcceptCallback(const ReplyCallback& done) {
  return [done](const AcceptResult& result) { done(ChangeReply(result)); };
}

// Returns an integer from the query, `fallback` when the key is missing, or
// nothing when the value is invalid.
std::optional<uint64_t> QueryNumber(const ApiRequest& request,
                                    std::string_view key,
                                    uint64_t fallback) {
  const auto found = request.query.find(key);
  if (found == request.query.end()) {
    return fallback;
  }
  const std::string& text = found->second;
  const char* end = text.data() + text.size();
  uint64_t value = 0;
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<ChangeAction> ReadChangeAction(const Json& json) {
  constexpr std::array<std::pair<std::string_view, ChangeAction>, 3> kActions =
      {{{"settle", ChangeAction::kSettle},
        {"halt", ChangeAction::kHalt},
        {"take-back", ChangeAction::kTakeBack}}};
  const auto found = json.find("action");
  if (found == json.end() || !found->is_string()) {
    return std::nullopt;
  }
  for (const auto& [name, action] : kActions) {
    if (found->get<std::string>() == name) {
      return action;
    }
  }
  return std::nullopt;
}

bool IsFlagSet(const Json& json, const char* key) {
  const auto found = json.find(key);
  return found != json.end() && found->is_boolean() && found->get<bool>();
}

}  // namespace

std::span<const Api::Route> Api::Routes() {
  static constexpr std::array<Route, 8> kRoutes = {
      {{Method::kGet, "/v1/rules", &Api::GetRules},
       {Method::kPost, "/v1/rules", &Api::PostRules},
       {Method::kGet, "/v1/rules/diff", &Api::GetDiff},
       {Method::kPost, "/v1/change", &Api::PostChange},
       {Method::kPost, "/v1/drain", &Api::PostDrain},
       {Method::kGet, "/v1/history", &Api::GetHistory},
       {Method::kGet, "/v1/audit", &Api::GetAudit},
       {Method::kGet, "/v1/status", &Api::GetStatus}}};
  return kRoutes;
}

void Api::Handle(const ApiRequest& request, const ReplyCallback& done) {
  ++stats_->requests;
  if (request.path == "/" && request.method == Method::kGet) {
    ApiReply page;
    page.content_type = "text/html; charset=utf-8";
    page.body = RenderStatusPage(backend_->Status());
    done(std::move(page));
    return;
  }
  const AdminToken* token = nullptr;
  const std::string_view authorization = request.authorization;
  if (authorization.starts_with(kBearerPrefix)) {
    token = FindToken(init_.tokens, authorization.substr(kBearerPrefix.size()));
  }
  if (token == nullptr) {
    ++stats_->unauthorized;
    ApiReply reply = ErrorReply(401, "a valid bearer token is needed");
    reply.headers["WWW-Authenticate"] = "Bearer";
    done(std::move(reply));
    return;
  }
  bool known_path = request.path == "/";
  std::string allowed = known_path ? "GET" : "";
  for (const Route& route : Routes()) {
    if (route.path != request.path) {
      continue;
    }
    if (route.method == request.method) {
      const Handler handler = route.handler;
      (this->*handler)(request, token->name, done);
      return;
    }
    known_path = true;
    allowed += (allowed.empty() ? "" : ", ") +
               std::string(route.method == Method::kGet ? "GET" : "POST");
  }
  ++stats_->rejected;
  ApiReply reply = known_path ? ErrorReply(405, "the path has other methods")
                              : ErrorReply(404, "there is no such path");
  if (known_path) {
    reply.headers["Allow"] = allowed;
  }
  done(std::move(reply));
}

void Api::GetRules(const ApiRequest& request,
                   const std::string& token_holder,
                   const ReplyCallback& done) {
  const auto document = backend_->ActiveRules();
  if (!document.has_value()) {
    done(ErrorReply(503, "no rule file is in force yet"));
    return;
  }
  done(JsonReply(200, ToJson(*document)));
}

void Api::PostRules(const ApiRequest& request,
                    const std::string& token_holder,
                    const ReplyCallback& done) {
  const auto json = ParseObject(request.body);
  if (!json.has_value()) {
    Reject(400, "the body is not a JSON object", done);
    return;
  }
  const ChangeFields fields = ReadChangeFields(*json, token_holder);
  const auto text = json->find("text");
  if (!fields.error.empty() || text == json->end() || !text->is_string()) {
    Reject(400, fields.error.empty() ? "text must be a text" : fields.error,
           done);
    return;
  }
  backend_->Propose(fields.origin, text->get<std::string>(),
                    MakeAcceptCallback(done));
}

void Api::GetDiff(const ApiRequest& request,
                  const std::string& token_holder,
                  const ReplyCallback& done) {
  const auto document = backend_->ActiveRules();
  if (!document.has_value()) {
    done(ErrorReply(503, "no rule file is in force yet"));
    return;
  }
  done(JsonReply(
      200, {{"from_version", document->baseline_version.value},
            {"to_version", document->version.value},
            {"diff", DiffRules(document->baseline_text, document->text)}}));
}

void Api::PostChange(const ApiRequest& request,
                     const std::string& token_holder,
                     const ReplyCallback& done) {
  const auto json = ParseObject(request.body);
  if (!json.has_value()) {
    Reject(400, "the body is not a JSON object", done);
    return;
  }
  const ChangeFields fields = ReadChangeFields(*json, token_holder);
  const auto action = ReadChangeAction(*json);
  if (!fields.error.empty() || !action.has_value()) {
    Reject(400,
           fields.error.empty() ? "action must be settle, halt or take-back"
                                : fields.error,
           done);
    return;
  }
  backend_->ApplyChangeAction(*action, fields.origin, MakeAcceptCallback(done));
}

void Api::PostDrain(const ApiRequest& request,
                    const std::string& token_holder,
                    const ReplyCallback& done) {
  const auto json = ParseObject(request.body);
  if (!json.has_value()) {
    Reject(400, "the body is not a JSON object", done);
    return;
  }
  const auto document = backend_->ActiveRules();
  if (!document.has_value()) {
    done(ErrorReply(503, "no rule file is in force yet"));
    return;
  }
  const ChangeFields fields =
      ReadChangeFields(*json, token_holder, document->version);
  const auto scope = ReadShortText(*json, "scope", limits::kMaxNameBytes);
  const auto target = ReadShortText(*json, "target", limits::kMaxNameBytes);
  const auto reason = ReadShortText(*json, "reason", limits::kMaxReasonBytes);
  if (!fields.error.empty() || !scope || !target || !reason) {
    Reject(400,
           fields.error.empty() ? "scope, target and reason must be short texts"
                                : fields.error,
           done);
    return;
  }
  // The edit is based on this node's text, so its version must be the expected
  // one.
  if (fields.origin.expected_version != document->version) {
    done(ChangeReply({AcceptStatus::kConflict, document->version, "", {}}));
    return;
  }
  const DrainEdit edit = {*scope, *target, fields.origin.requested_by, *reason};
  if (!IsFlagSet(*json, "undo")) {
    backend_->Propose(fields.origin, AddDrain(document->text, edit),
                      MakeAcceptCallback(done));
    return;
  }
  const auto text = RemoveDrain(document->text, edit);
  if (!text.has_value()) {
    Reject(404, "there is no such drain", done);
    return;
  }
  backend_->Propose(fields.origin, *text, MakeAcceptCallback(done));
}

void Api::GetHistory(const ApiRequest& request,
                     const std::string& token_holder,
                     const ReplyCallback& done) {
  ReadEntries(request, false, done);
}

void Api::GetAudit(const ApiRequest& request,
                   const std::string& token_holder,
                   const ReplyCallback& done) {
  ReadEntries(request, true, done);
}

void Api::GetStatus(const ApiRequest& request,
                    const std::string& token_holder,
                    const ReplyCallback& done) {
  done(JsonReply(200, ToJson(backend_->Status())));
}

void Api::ReadEntries(const ApiRequest& request,
                      bool with_diff,
                      const ReplyCallback& done) {
  const auto from = QueryNumber(request, "from", 0);
  const auto count = QueryNumber(request, "count", limits::kMaxHistoryEntries);
  if (!from || !count || *count > limits::kMaxHistoryEntries) {
    Reject(400,
           "from and count must be whole numbers, count at most " +
               std::to_string(limits::kMaxHistoryEntries),
           done);
    return;
  }
  backend_->ReadHistory(
      RuleVersion{*from}, *count,
      [done, with_diff](StoreStatus status,
                        const std::vector<AuditEntry>& entries) {
        if (status != StoreStatus::kOk) {
          done(ErrorReply(503, "the audit trail can't be read"));
          return;
        }
        Json json = {{"entries", Json::array()}};
        for (const AuditEntry& entry : entries) {
          json["entries"].push_back(ToJson(entry, with_diff));
        }
        done(JsonReply(200, json));
      });
}

void Api::Reject(int status, std::string message, const ReplyCallback& done) {
  ++stats_->rejected;
  done(ErrorReply(status, message));
}

}  // namespace comfreystand::admin
