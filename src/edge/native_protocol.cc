#include "src/edge/native_protocol.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace comfreystand::edge {
namespace {

constexpr std::string_view kServicePathPrefix = "/v1/s/";
constexpr std::string_view kNativeHeaderPrefix = "Comfreystand-";
constexpr int kServiceUnavailable = 503;

constexpr std::array<std::string_view, 5> kNativeAnswerHeaders = {
    kFreeSlotsHeader, kLeavingHeader, kStartedHeader, kKnownHeader,
    kVerdictHeader};

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

Refusal BadHeaderValue() {
  return {.status = 400,
          .error = "bad_header_value",
          .fault = Fault::kBadHeaderValue};
}

bool IsKnownMethod(std::string_view method) {
  constexpr std::array<std::string_view, 15> kMethods = {
      "GET",      "HEAD",      "POST",   "PUT",   "DELETE",
      "MKCOL",    "COPY",      "MOVE",   "LOCK",  "OPTIONS",
      "PROPFIND", "PROPPATCH", "UNLOCK", "TRACE", "PATCH"};
  return std::find(kMethods.begin(), kMethods.end(), method) != kMethods.end();
}

bool ForwardsRequestHeader(std::string_view name) {
  return EqualNames(name, kOperationHeader) ||
         !EqualNames(name.substr(0, kNativeHeaderPrefix.size()),
                     kNativeHeaderPrefix);
}

bool ReadIdempotent(const RequestHead& head, RelayRequest* out) {
  const std::string* text = FindHeader(head.headers, kIdempotentHeader);
  if (!text) {
    out->traits.idempotent = head.method == "GET" || head.method == "HEAD";
    return true;
  }
  out->traits.idempotent = EqualNames(*text, "yes");
  return out->traits.idempotent || EqualNames(*text, "no");
}

// Identifies the caller by its Comfreystand-Caller header, or by its address
// when there is none.
void ReadCaller(const RequestHead& head, RelayRequest* out) {
  const std::string* text = FindHeader(head.headers, kCallerHeader);
  const uint64_t hash =
      text ? StableHash(*text) : StableHash(0, head.caller_address);
  out->traits.caller =
      CallerId(static_cast<uint32_t>(hash) & (CallerId::kInvalid >> 1));
}

bool IsValue(const AnswerHead& head,
             std::string_view name,
             std::string_view expected) {
  const std::string* value = head.Find(name);
  return value && *value == expected;
}

}  // namespace

bool NativeProtocol::ReadTarget(const RequestHead& head,
                                RelayRequest* out) const {
  std::string_view path = head.path;
  path.remove_prefix(std::min(path.size(), kServicePathPrefix.size()));
  const size_t slash = path.find('/');
  const std::string_view name = path.substr(0, slash);
  const auto found =
      std::find_if(services_.begin(), services_.end(),
                   [name](const ServiceName& s) { return s.name == name; });
  if (found == services_.end()) {
    return false;
  }
  out->traits.service =
      ServiceId(static_cast<uint16_t>(found - services_.begin()));
  out->target = slash == std::string_view::npos ? "/" : path.substr(slash);
  out->traits.path_hash = StableHash(out->target);
  if (!head.query.empty()) {
    out->target += "?" + head.query;
  }
  return true;
}

// Reads the class and sets its default deadline. Returns false for an unknown
// class.
bool NativeProtocol::ReadClass(const RequestHead& head,
                               RelayRequest* out,
                               Duration* default_deadline) const {
  const std::string* text = FindHeader(head.headers, kClassHeader);
  const ServiceName& service = services_[out->traits.service.value];
  size_t index =
      service.default_class.IsValid() ? service.default_class.value : 0;
  if (text) {
    const auto found =
        std::find_if(classes_.begin(), classes_.end(),
                     [text](const ClassName& c) { return c.name == *text; });
    if (found == classes_.end()) {
      return false;
    }
    index = static_cast<size_t>(found - classes_.begin());
  }
  out->traits.request_class = ClassId(static_cast<uint8_t>(index));
  if (index < classes_.size()) {
    out->class_name = classes_[index].name;
    *default_deadline = classes_[index].default_deadline;
  }
  return true;
}

bool NativeProtocol::ReadDeadline(const RequestHead& head,
                                  Duration default_deadline,
                                  RelayRequest* out,
                                  Refusal* refusal) const {
  Duration time_left = default_deadline;
  if (const std::string* text = FindHeader(head.headers, kDeadlineHeader)) {
    int64_t millis = 0;
    if (!ParseInteger(*text, &millis)) {
      *refusal = BadHeaderValue();
      return false;
    }
    if (millis <= 0) {
      *refusal = {.status = 504,
                  .error = "deadline_exceeded",
                  .fault = Fault::kDeadlineAlreadyPassed};
      return false;
    }
    const int64_t max_millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(max_deadline_)
            .count();
    time_left = std::chrono::milliseconds(std::min(millis, max_millis));
  }
  out->traits.deadline = out->traits.arrival + time_left;
  return true;
}

bool NativeProtocol::ReadRequest(const RequestHead& head,
                                 TimePoint now,
                                 RelayRequest* out,
                                 Refusal* refusal) const {
  out->traits.arrival = now;
  out->head_request = head.method == "HEAD";
  out->content_length = head.content_length;
  out->method = head.method;
  if (!IsKnownMethod(head.method)) {
    *refusal = {.status = 405,
                .error = "method_not_allowed",
                .fault = Fault::kMalformed,
                .close = true};
    return false;
  }
  if (!CollectHeaderLines(head, &ForwardsRequestHeader, &out->header_lines)) {
    *refusal = {.status = 400,
                .error = "malformed",
                .fault = Fault::kMalformed,
                .close = true};
    return false;
  }
  if (out->content_length > static_cast<int64_t>(max_body_bytes_)) {
    *refusal = {.status = 413,
                .error = "body_too_large",
                .fault = Fault::kBodyTooLarge,
                .close = true};
    return false;
  }
  if (!ReadTarget(head, out)) {
    *refusal = {.status = 404,
                .error = "unknown_service",
                .fault = Fault::kUnknownService};
    return false;
  }
  Duration default_deadline = limits::kDefaultDeadline;
  if (!ReadIdempotent(head, out) || !ReadClass(head, out, &default_deadline)) {
    *refusal = BadHeaderValue();
    return false;
  }
  ReadCaller(head, out);
  if (const std::string* ticket = FindHeader(head.headers, kTicketHeader)) {
    out->ticket = *ticket;
  }
  return ReadDeadline(head, default_deadline, out, refusal);
}

Refusal NativeProtocol::RefusalFor(const steer::Action& action) const {
  const RejectAnswer& answer =
      kRejectAnswers[static_cast<size_t>(action.reason)];
  return {.status = answer.status,
          .verdict = action.verdict,
          .error = answer.error,
          .retry_after = action.retry_after};
}

std::string NativeProtocol::FormatRefusal(const Refusal& refusal,
                                          const RelayRequest* request,
                                          bool keep_alive) const {
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
  return request && request->head_request ? text : text + body;
}

bool NativeProtocol::ForwardsAnswerHeader(std::string_view name) const {
  return std::none_of(
      kNativeAnswerHeaders.begin(), kNativeAnswerHeaders.end(),
      [&](std::string_view native) { return EqualNames(native, name); });
}

void NativeProtocol::AppendAnswerHeaders(RunVerdict verdict,
                                         std::string* head) const {
  *head += std::string(kVerdictHeader) + ": " + std::string(ToString(verdict)) +
           "\r\n";
}

void NativeProtocol::AppendAttemptHeaders(const RelayRequest& request,
                                          const AttemptInfo& attempt,
                                          std::string* head) const {
  const int64_t millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(attempt.time_left)
          .count();
  *head += std::string(kDeadlineHeader) + ": " +
           std::to_string(std::max<int64_t>(millis, 1)) + "\r\n" +
           kAttemptHeader + ": " + attempt.name + "\r\n";
  if (!request.class_name.empty()) {
    *head += std::string(kClassHeader) + ": " + request.class_name + "\r\n";
  }
}

AnswerInfo NativeProtocol::ReadAnswer(const AnswerHead& head,
                                      const AttemptInfo& attempt) const {
  AnswerInfo info;
  if (head.status == kServiceUnavailable &&
      IsValue(head, kStartedHeader, "no")) {
    info.kind = AnswerInfo::Kind::kNotRun;
  }
  info.leaving = IsValue(head, kLeavingHeader, "yes");
  if (const std::string* slots = head.Find(kFreeSlotsHeader)) {
    std::from_chars(slots->data(), slots->data() + slots->size(),
                    info.free_slots);
  }
  return info;
}

steer::ProbeReport NativeProtocol::ReadHealth(
    const AnswerHead& head,
    const std::string& backend_name) const {
  constexpr int kOk = 200;
  return {.healthy = head.status == kOk};
}

}  // namespace comfreystand::edge
