#ifndef COMFREYSTAND_TOKEN_H_
#define COMFREYSTAND_TOKEN_H_

#include <span>
#include <string>
#include <string_view>

// Bearer tokens of the administration API.
namespace comfreystand {

// A token, known by its SHA-256 only.
struct AdminToken {
  // Who holds the token, for the audit trail.
  std::string name;
  // 64 lower-case hexadecimal digits.
  std::string sha256;
};

// SHA-256 of `bytes` in lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view bytes);

// The entry of `tokens` that `presented` is the token of, or null. Takes as
// long for a wrong token as for a right one.
const AdminToken* FindToken(std::span<const AdminToken> tokens,
                            std::string_view presented);

}  // namespace comfreystand

#endif  // COMFREYSTAND_TOKEN_H_
