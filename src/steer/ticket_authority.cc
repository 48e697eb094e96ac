#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>

#include "comfreystand/steer/ticket.h"
#include "src/steer/ticket_window.h"

namespace comfreystand::steer {
namespace {

// Version of the text format. A ticket is
// "t1.NODE.INCARNATION.SERIAL.ISSUED.MAC" in hexadecimal numbers. ISSUED is in
// microseconds of the issuer's clock.
constexpr std::string_view kFormatVersion = "t1";
constexpr size_t kNumberFields = 4;
constexpr size_t kMacBytes = 16;

struct Ticket {
  uint64_t node = 0;
  uint64_t incarnation = 0;
  uint64_t serial = 0;
  uint64_t issued = 0;
  // The part of the text that the MAC covers, and the MAC in hexadecimal.
  std::string_view signed_text;
  std::string_view mac;
};

void AppendHex(uint64_t value, std::string* text) {
  std::array<char, 16> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
  text->append(digits.data(), end.ptr);
}

bool ParseHex(std::string_view text, uint64_t* value) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, *value, 16);
  return parsed.ec == std::errc() && parsed.ptr == end && !text.empty();
}

// Returns the text before the next dot and removes both from `rest`.
std::string_view ConsumeField(std::string_view* rest) {
  const size_t dot = rest->find('.');
  const std::string_view field = rest->substr(0, dot);
  rest->remove_prefix(dot == std::string_view::npos ? rest->size() : dot + 1);
  return field;
}

std::optional<Ticket> Parse(std::string_view text) {
  if (text.size() > limits::kMaxTicketBytes) {
    return std::nullopt;
  }
  std::string_view rest = text;
  if (ConsumeField(&rest) != kFormatVersion) {
    return std::nullopt;
  }
  std::array<uint64_t, kNumberFields> numbers{};
  for (uint64_t& number : numbers) {
    if (!ParseHex(ConsumeField(&rest), &number)) {
      return std::nullopt;
    }
  }
  if (rest.size() != 2 * kMacBytes || numbers[0] >= NodeId::kInvalid) {
    return std::nullopt;
  }
  return Ticket{.node = numbers[0],
                .incarnation = numbers[1],
                .serial = numbers[2],
                .issued = numbers[3],
                .signed_text = text.substr(0, text.size() - rest.size()),
                .mac = rest};
}

class HmacTicketAuthority final : public TicketAuthority {
 public:
  explicit HmacTicketAuthority(const TicketInit& init)
      : init_(init), windows_(init.lifetime) {}

  std::string Issue(TimePoint now) override {
    const uint64_t serial = windows_.NextSerial(now);
    if (serial == SerialWindows::kNoSerial) {
      ++stats_.refused;
      return {};
    }
    ++stats_.issued;
    std::string text(kFormatVersion);
    for (uint64_t number :
         {uint64_t{init_.node.value}, init_.incarnation.value, serial,
          static_cast<uint64_t>(now.time_since_epoch().count())}) {
      text += '.';
      AppendHex(number, &text);
    }
    text += '.';
    return text + ComputeMac(text);
  }

  Redemption Redeem(TimePoint now, std::string_view text) override {
    const std::optional<Ticket> ticket = Parse(text);
    if (!ticket) {
      ++stats_.malformed;
      return {};
    }
    Redemption result = {
        .issuer = NodeId(static_cast<uint32_t>(ticket->node)),
        .issuer_incarnation = Incarnation{ticket->incarnation}};
    result.outcome = RedeemParsed(now, *ticket);
    CountOutcome(result.outcome);
    return result;
  }

  bool Release(TimePoint now, std::string_view text) override {
    const std::optional<Ticket> ticket = Parse(text);
    if (!ticket || !IsIssuedHere(*ticket) || !HasValidMac(*ticket) ||
        !windows_.MarkUnused(ticket->serial)) {
      return false;
    }
    ++stats_.released;
    return true;
  }

  TicketStats Stats() const override {
    TicketStats stats = stats_;
    stats.memory_bytes = windows_.MemoryBytes();
    return stats;
  }

 private:
  TicketOutcome RedeemParsed(TimePoint now, const Ticket& ticket) {
    if (!IsIssuedHere(ticket)) {
      return TicketOutcome::kOtherIssuer;
    }
    if (!HasValidMac(ticket)) {
      return TicketOutcome::kMalformed;
    }
    const TimePoint issued{Duration(static_cast<int64_t>(ticket.issued))};
    if (now - issued > init_.lifetime) {
      return TicketOutcome::kExpired;
    }
    return windows_.MarkUsed(ticket.serial) ? TicketOutcome::kAccepted
                                            : TicketOutcome::kAlreadyUsed;
  }

  bool IsIssuedHere(const Ticket& ticket) const {
    return ticket.node == init_.node.value &&
           ticket.incarnation == init_.incarnation.value;
  }

  bool HasValidMac(const Ticket& ticket) const {
    const std::string expected = ComputeMac(ticket.signed_text);
    return CRYPTO_memcmp(expected.data(), ticket.mac.data(), expected.size()) ==
           0;
  }

  std::string ComputeMac(std::string_view signed_text) const {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), init_.key.data(), static_cast<int>(init_.key.size()),
         reinterpret_cast<const unsigned char*>(signed_text.data()),
         signed_text.size(), digest.data(), &size);
    constexpr std::string_view kDigits = "0123456789abcdef";
    std::string text;
    for (size_t i = 0; i < kMacBytes; ++i) {
      text += kDigits[digest[i] >> 4];
      text += kDigits[digest[i] & 15];
    }
    return text;
  }

  void CountOutcome(TicketOutcome outcome) {
    // In order of TicketOutcome.
    static constexpr std::array<uint64_t TicketStats::*, 5> kCounters = {
        &TicketStats::accepted, &TicketStats::already_used,
        &TicketStats::other_issuer, &TicketStats::expired,
        &TicketStats::malformed};
    ++(stats_.*kCounters[static_cast<size_t>(outcome)]);
  }

  TicketInit init_;
  SerialWindows windows_;
  TicketStats stats_;
};

}  // namespace

std::unique_ptr<TicketAuthority> CreateTicketAuthority(const TicketInit& init) {
  return std::make_unique<HmacTicketAuthority>(init);
}

}  // namespace comfreystand::steer
