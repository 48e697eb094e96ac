#ifndef COMFREYSTAND_TOKEN_H_
#define COMFREYSTAND_TOKEN_H_

#include <span>
#include <string>
#include <string_view>

// Bearer tokens of the administration API.
namespace comfreystand {

// A token, stored only as its SHA-256.
struct AdminToken {
  // Holder of the token, recorded in the audit trail.
  std::string name;
  // 64 lower-case hexadecimal digits.
  std::string sha256;
};

// SHA-256 of `bytes` in lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view bytes);

// Returns the entry of `tokens` that matches `presented`, or null. Runs in
// constant time, so that the time does not reveal whether a token matched.
const AdminToken* FindToken(std::span<const AdminToken> tokens,
                            std::string_view presented);

}  // namespace comfreystand

#endif  // COMFREYSTAND_TOKEN_H_
