#include "comfreystand/token.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace comfreystand {

std::string Sha256Hex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  std::string hex;
  for (unsigned char byte : digest) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 0xf];
  }
  return hex;
}

const AdminToken* FindToken(std::span<const AdminToken> tokens,
                            std::string_view presented) {
  const std::string hash = Sha256Hex(presented);
  const AdminToken* found = nullptr;
  for (const AdminToken& token : tokens) {
    // Constant time: no early exit.
    const bool same =
        token.sha256.size() == hash.size() &&
        CRYPTO_memcmp(token.sha256.data(), hash.data(), hash.size()) == 0;
    found = same ? &token : found;
  }
  return found;
}

}  // namespace comfreystand
