#include "src/edge/message_lines.h"

#include <algorithm>

namespace comfreystand::edge {
namespace {

constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr size_t kStatusDigits = 3;
constexpr char kDelete = 0x7f;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// Character of a token (RFC 9110, section 5.6.2).
bool IsTokenChar(char c) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  const char lower = static_cast<char>(c | 0x20);
  return IsDigit(c) || (lower >= 'a' && lower <= 'z') ||
         kSymbols.find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), &IsTokenChar);
}

// Visible characters, and bytes of other character sets.
bool IsVisible(char c) {
  return static_cast<unsigned char>(c) > ' ' && c != kDelete;
}

bool IsText(char c) {
  return IsVisible(c) || c == ' ' || c == '\t';
}

bool IsAllText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), &IsText);
}

// Parses "HTTP/1.0" or "HTTP/1.1".
bool ParseVersion(std::string_view text, bool* http11) {
  if (text.size() != kVersionPrefix.size() + 1 ||
      !text.starts_with(kVersionPrefix)) {
    return false;
  }
  *http11 = text.back() == '1';
  return *http11 || text.back() == '0';
}

// Whether a comma-separated list contains a name, without regard to case.
bool ListContains(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const size_t comma = std::min(list.find(','), list.size());
    if (EqualNames(TrimSpace(list.substr(0, comma)), name)) {
      return true;
    }
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

}  // namespace

bool ParseRequestLine(std::string_view line, RequestLine* out) {
  const size_t method_end = line.find(' ');
  const size_t target_end = line.rfind(' ');
  if (method_end == std::string_view::npos || method_end == target_end) {
    return false;
  }
  out->method = line.substr(0, method_end);
  out->target = line.substr(method_end + 1, target_end - method_end - 1);
  return IsToken(out->method) && !out->target.empty() &&
         std::all_of(out->target.begin(), out->target.end(), &IsVisible) &&
         ParseVersion(line.substr(target_end + 1), &out->http11);
}

bool ParseStatusLine(std::string_view line, StatusLine* out) {
  const size_t version_end = std::min(line.find(' '), line.size());
  if (!ParseVersion(line.substr(0, version_end), &out->http11)) {
    return false;
  }
  line.remove_prefix(std::min(version_end + 1, line.size()));
  const std::string_view digits = line.substr(0, kStatusDigits);
  if (digits.size() != kStatusDigits ||
      !std::all_of(digits.begin(), digits.end(), &IsDigit)) {
    return false;
  }
  out->status = 0;
  for (const char digit : digits) {
    out->status = out->status * 10 + (digit - '0');
  }
  line.remove_prefix(kStatusDigits);
  // Some servers leave out the space before an empty reason phrase.
  return out->status >= kMinStatus && out->status <= kMaxStatus &&
         (line.empty() || line.front() == ' ') && IsAllText(line);
}

bool ParseFieldLine(std::string_view line, HeaderField* out) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = TrimSpace(line.substr(colon + 1));
  if (!IsToken(name) || !IsAllText(value)) {
    return false;
  }
  out->name = name;
  out->value = value;
  return true;
}

bool MayBeginStatusLine(std::string_view bytes) {
  return kVersionPrefix.starts_with(bytes.substr(0, kVersionPrefix.size()));
}

bool KeepsAlive(bool http11, const std::vector<HeaderField>& headers) {
  bool says_close = false;
  bool says_keep_alive = false;
  for (const HeaderField& field : headers) {
    if (EqualNames(field.name, "Connection")) {
      says_close = says_close || ListContains(field.value, "close");
      says_keep_alive =
          says_keep_alive || ListContains(field.value, "keep-alive");
    }
  }
  return !says_close && (http11 || says_keep_alive);
}

LineReader::Result LineReader::Next(evbuffer* input,
                                    size_t max_bytes,
                                    std::string* line) {
  evbuffer_ptr begin;
  evbuffer_ptr_set(input, &begin, searched_, EVBUFFER_PTR_SET);
  const evbuffer_ptr end =
      evbuffer_search_eol(input, &begin, nullptr, EVBUFFER_EOL_LF);
  if (end.pos < 0) {
    searched_ = evbuffer_get_length(input);
    return searched_ < max_bytes ? Result::kIncomplete : Result::kTooLong;
  }
  searched_ = 0;
  const size_t size = static_cast<size_t>(end.pos) + 1;
  if (size > max_bytes) {
    return Result::kTooLong;
  }
  line->resize(size);
  evbuffer_remove(input, line->data(), size);
  if (!line->ends_with("\r\n")) {
    return Result::kMalformed;
  }
  line->resize(size - 2);
  return Result::kLine;
}

}  // namespace comfreystand::edge
