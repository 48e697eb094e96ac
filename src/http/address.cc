#include <event2/http.h>

#include <charconv>
#include <cstdlib>

#include "comfreystand/http_client.h"

namespace comfreystand::http {

bool ParseAddress(std::string_view text, std::string* host, uint16_t* port) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0)
    return false;
  const std::string_view digits = text.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), *port);
  if (error != std::errc() || end != digits.data() + digits.size())
    return false;
  std::string_view name = text.substr(0, colon);
  if (name.size() > 2 && name.front() == '[' && name.back() == ']')
    name = name.substr(1, name.size() - 2);
  *host = std::string(name);
  return true;
}

std::string EncodePath(std::string_view path) {
  char* encoded =
      evhttp_uriencode(path.data(), static_cast<ev_ssize_t>(path.size()), 0);
  std::string result(encoded);
  free(encoded);
  for (size_t at = result.find("%2F"); at != std::string::npos;
       at = result.find("%2F", at))
    result.replace(at, 3, "/");
  return result;
}

}  // namespace comfreystand::http
