#include "comfreystand/relay_protocol.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace comfreystand::edge {
namespace {

// Headers that are forwarded neither to backend servers nor to callers.
constexpr std::array<std::string_view, 13> kHopByHop = {"Connection",
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

constexpr std::array<std::pair<int, const char*>, 25> kReasonPhrases = {{
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
    {408, "Request Timeout"},
    {409, "Conflict"},
    {413, "Content Too Large"},
    {421, "Misdirected Request"},
    {428, "Precondition Required"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
    {505, "HTTP Version Not Supported"},
}};

// Indexed by Fault.
constexpr std::array<std::string_view, static_cast<size_t>(Fault::kCount)>
    kFaultNames = {
        "malformed",        "headers_too_large", "body_too_large",
        "unknown_service",  "unknown_path",      "bad_header_value",
        "deadline_passed",  "ticket_missing",    "ticket_refused",
        "too_many_callers", "caller_timeout",    "caller_reset",
        "answer_truncated", "answer_too_large",  "answer_overdue",
        "answer_malformed", "key_missing",       "key_unknown",
        "key_revoked",
};

bool HasControlBytes(std::string_view value) {
  return std::any_of(value.begin(), value.end(), [](char c) {
    return static_cast<unsigned char>(c) < ' ' && c != '\t';
  });
}

}  // namespace

bool EqualNames(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view TrimSpace(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string_view ToString(Fault fault) {
  return kFaultNames[static_cast<size_t>(fault)];
}

const std::string* FindHeader(const std::vector<HeaderField>& headers,
                              std::string_view name) {
  for (const HeaderField& field : headers) {
    if (EqualNames(field.name, name)) {
      return &field.value;
    }
  }
  return nullptr;
}

const char* ReasonPhrase(int status) {
  const auto* found =
      std::find_if(kReasonPhrases.begin(), kReasonPhrases.end(),
                   [status](const auto& r) { return r.first == status; });
  return found == kReasonPhrases.end() ? "Status" : found->second;
}

bool IsHopByHop(std::string_view name) {
  return std::any_of(
      kHopByHop.begin(), kHopByHop.end(),
      [&](std::string_view other) { return EqualNames(name, other); });
}

bool CollectHeaderLines(const RequestHead& head,
                        bool (*forwards)(std::string_view name),
                        std::string* lines) {
  for (const HeaderField& field : head.headers) {
    if (HasControlBytes(field.value)) {
      return false;
    }
    if (!IsHopByHop(field.name) && forwards(field.name)) {
      lines->append(field.name).append(": ").append(field.value).append("\r\n");
    }
  }
  return true;
}

bool ParseDecimal(std::string_view text, double* value) {
  const auto result = std::from_chars(text.data(), text.data() + text.size(),
                                      *value, std::chars_format::fixed);
  return result.ec == std::errc() && result.ptr == text.data() + text.size() &&
         std::isfinite(*value) && *value >= 0;
}

bool ParseInteger(std::string_view text, int64_t* value) {
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), *value);
  return !text.empty() && result.ec == std::errc() &&
         result.ptr == text.data() + text.size();
}

}  // namespace comfreystand::edge
