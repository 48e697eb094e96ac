#include "src/edge/relay_request.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <string_view>
#include <utility>

namespace comfreystand::edge {
namespace {

constexpr std::string_view kPrefix = "/v1/s/";
constexpr std::string_view kOwnPrefix = "Comfreystand-";

// Headers that are not forwarded, either way.
constexpr std::array<const char*, 13> kHopByHop = {"Connection",
                                                   "Keep-Alive",
                                                   "Proxy-Authenticate",
                                                   "Proxy-Authorization",
                                                   "TE",
                                                   "Trailer",
                                                   "Transfer-Encoding",
                                                   "Upgrade",
                                                   "Content-Length",
                                                   "Host",
                                                   "Expect",
                                                   "Proxy-Connection",
                                                   "HTTP2-Settings"};

constexpr std::array<std::pair<int, const char*>, 23> kReasons = {{
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {206, "Partial Content"},
    {301, "Moved Permanently"},
    {302, "Found"},
    {304, "Not Modified"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {409, "Conflict"},
    {413, "Content Too Large"},
    {421, "Misdirected Request"},
    {428, "Precondition Required"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
    {505, "HTTP Version Not Supported"},
}};

struct RejectAnswer {
  int status;
  const char* error;
};

// Indexed by steer::RejectReason.
constexpr std::array<RejectAnswer, 7> kRejectAnswers = {{
    {502, "failed"},
    {503, "overloaded"},
    {504, "deadline_exceeded"},
    {503, "no_backend_server"},
    {502, "attempt_failed"},
    {503, "draining"},
    {503, "cancelled"},
}};

Refusal BadValue() {
  return {.status = 400,
          .error = "bad_header_value",
          .fault = Fault::kBadHeaderValue};
}

bool ParseInteger(std::string_view text, int64_t* value) {
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), *value);
  return !text.empty() && result.ec == std::errc() &&
         result.ptr == text.data() + text.size();
}

bool HasControlBytes(const evhtp_kv_t* header) {
  const std::string_view value(header->val ? header->val : "", header->vlen);
  return std::any_of(value.begin(), value.end(), [](char c) {
    return static_cast<unsigned char>(c) < ' ' && c != '\t';
  });
}

bool StartsWithOwnPrefix(const char* name) {
  return strncasecmp(name, kOwnPrefix.data(), kOwnPrefix.size()) == 0;
}

// Collects the header lines to forward and the framing of the body.
bool ReadHeaders(const evhtp_request_t* request, RelayRequest* out) {
  int lengths = 0;
  bool chunked = false;
  const evhtp_kv_t* header;
  TAILQ_FOREACH(header, request->headers_in, next) {
    if (HasControlBytes(header)) {
      return false;
    }
    const char* value = header->val ? header->val : "";
    if (strcasecmp(header->key, "Content-Length") == 0) {
      ++lengths;
      if (!ParseInteger(value, &out->content_length) ||
          out->content_length < 0) {
        return false;
      }
    } else if (strcasecmp(header->key, "Transfer-Encoding") == 0) {
      if (strcasecmp(value, "chunked") != 0) {
        return false;
      }
      chunked = true;
    } else if (strcasecmp(header->key, kOperationHeader) == 0 ||
               (!StartsWithOwnPrefix(header->key) &&
                !IsHopByHop(header->key))) {
      out->header_lines.append(header->key, header->klen);
      out->header_lines.append(": ").append(value).append("\r\n");
    }
  }
  if (lengths > 1 || (lengths == 1 && chunked)) {
    return false;
  }
  if (chunked) {
    out->content_length = -1;
  }
  return true;
}

bool ReadDeadline(const evhtp_request_t* request,
                  const RequestTables& tables,
                  Duration class_default,
                  RelayRequest* out,
                  Refusal* refusal) {
  Duration left = class_default;
  if (const char* text =
          evhtp_header_find(request->headers_in, kDeadlineHeader)) {
    int64_t millis = 0;
    if (!ParseInteger(text, &millis)) {
      *refusal = BadValue();
      return false;
    }
    if (millis <= 0) {
      *refusal = {.status = 504,
                  .error = "deadline_exceeded",
                  .fault = Fault::kDeadlineAlreadyPassed};
      return false;
    }
    const int64_t longest =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            tables.max_deadline)
            .count();
    left = std::chrono::milliseconds(std::min(millis, longest));
  }
  out->traits.deadline = out->traits.arrival + left;
  return true;
}

bool ReadIdempotent(const evhtp_request_t* request, RelayRequest* out) {
  const char* text = evhtp_header_find(request->headers_in, kIdempotentHeader);
  if (!text) {
    out->traits.idempotent =
        request->method == htp_method_GET || request->method == htp_method_HEAD;
    return true;
  }
  out->traits.idempotent = strcasecmp(text, "yes") == 0;
  return out->traits.idempotent || strcasecmp(text, "no") == 0;
}

// Reads the class and sets the deadline that it implies.
bool ReadClass(const evhtp_request_t* request,
               const RequestTables& tables,
               RelayRequest* out,
               Duration* default_deadline) {
  const char* text = evhtp_header_find(request->headers_in, kClassHeader);
  const ServiceName& service = tables.services[out->traits.service.value];
  size_t index =
      service.default_class.IsValid() ? service.default_class.value : 0;
  if (text) {
    const auto found =
        std::find_if(tables.classes.begin(), tables.classes.end(),
                     [text](const ClassName& c) { return c.name == text; });
    if (found == tables.classes.end()) {
      return false;
    }
    index = static_cast<size_t>(found - tables.classes.begin());
  }
  out->traits.request_class = ClassId(static_cast<uint8_t>(index));
  if (index < tables.classes.size()) {
    out->class_name = tables.classes[index].name;
    *default_deadline = tables.classes[index].default_deadline;
  }
  return true;
}

// Callers are told apart by the name they give, else by their address.
void ReadCaller(const evhtp_request_t* request, RelayRequest* out) {
  const char* text = evhtp_header_find(request->headers_in, kCallerHeader);
  uint64_t hash = 0;
  if (text) {
    hash = StableHash(text);
  } else {
    const auto* peer =
        reinterpret_cast<const sockaddr_in*>(request->conn->saddr);
    hash = StableHash(0, peer->sin_addr.s_addr);
  }
  out->traits.caller =
      CallerId(static_cast<uint32_t>(hash) & (CallerId::kInvalid >> 1));
}

bool ReadTarget(const evhtp_request_t* request,
                const RequestTables& tables,
                RelayRequest* out) {
  std::string_view path = request->uri->path->full;
  path.remove_prefix(std::min(path.size(), kPrefix.size()));
  const size_t slash = path.find('/');
  const std::string_view name = path.substr(0, slash);
  const auto found =
      std::find_if(tables.services.begin(), tables.services.end(),
                   [name](const ServiceName& s) { return s.name == name; });
  if (found == tables.services.end()) {
    return false;
  }
  out->traits.service =
      ServiceId(static_cast<uint16_t>(found - tables.services.begin()));
  out->target = slash == std::string_view::npos ? "/" : path.substr(slash);
  out->traits.path_hash = StableHash(out->target);
  if (request->uri->query_raw) {
    const char* query = reinterpret_cast<const char*>(request->uri->query_raw);
    out->target += *query ? "?" + std::string(query) : std::string();
  }
  return true;
}

}  // namespace

bool ParseRelayRequest(const evhtp_request_t* request,
                       const RequestTables& tables,
                       TimePoint now,
                       RelayRequest* out,
                       Refusal* refusal) {
  out->traits.arrival = now;
  out->head_request = request->method == htp_method_HEAD;
  if (request->method == htp_method_CONNECT ||
      request->method >= htp_method_UNKNOWN) {
    *refusal = {.status = 405,
                .error = "method_not_allowed",
                .fault = Fault::kMalformed,
                .close = true};
    return false;
  }
  out->method = htparser_get_methodstr_m(request->method);
  if (!ReadHeaders(request, out)) {
    *refusal = {.status = 400,
                .error = "malformed",
                .fault = Fault::kMalformed,
                .close = true};
    return false;
  }
  if (out->content_length > static_cast<int64_t>(tables.max_body_bytes)) {
    *refusal = {.status = 413,
                .error = "body_too_large",
                .fault = Fault::kBodyTooLarge,
                .close = true};
    return false;
  }
  if (!ReadTarget(request, tables, out)) {
    *refusal = {.status = 404,
                .error = "unknown_service",
                .fault = Fault::kUnknownService};
    return false;
  }
  Duration default_deadline = limits::kDefaultDeadline;
  if (!ReadIdempotent(request, out) ||
      !ReadClass(request, tables, out, &default_deadline)) {
    *refusal = BadValue();
    return false;
  }
  ReadCaller(request, out);
  if (const char* ticket =
          evhtp_header_find(request->headers_in, kTicketHeader)) {
    out->ticket = ticket;
  }
  return ReadDeadline(request, tables, default_deadline, out, refusal);
}

Refusal RefusalFor(const steer::Action& action) {
  const RejectAnswer& answer =
      kRejectAnswers[static_cast<size_t>(action.reason)];
  return {.status = answer.status,
          .verdict = action.verdict,
          .error = answer.error,
          .retry_after = action.retry_after};
}

std::string FormatRefusal(const Refusal& refusal,
                          bool keep_alive,
                          bool head_request) {
  const std::string verdict(ToString(refusal.verdict));
  const std::string body = std::string("{\"error\":\"") + refusal.error +
                           "\",\"verdict\":\"" + verdict + "\"}\n";
  std::string text = "HTTP/1.1 " + std::to_string(refusal.status) + " " +
                     ReasonPhrase(refusal.status) + "\r\n" + kVerdictHeader +
                     ": " + verdict + "\r\n";
  if (refusal.retry_after > Duration::zero()) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(refusal.retry_after);
    text += "Retry-After: " + std::to_string(seconds.count()) + "\r\n";
  }
  text += "Content-Type: application/json\r\nContent-Length: " +
          std::to_string(body.size()) +
          (keep_alive ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n");
  return head_request ? text : text + body;
}

const char* ReasonPhrase(int status) {
  const auto* found =
      std::find_if(kReasons.begin(), kReasons.end(),
                   [status](const auto& r) { return r.first == status; });
  return found == kReasons.end() ? "Status" : found->second;
}

bool IsHopByHop(const std::string& name) {
  return std::any_of(kHopByHop.begin(), kHopByHop.end(), [&](const char* h) {
    return strcasecmp(name.c_str(), h) == 0;
  });
}

}  // namespace comfreystand::edge
