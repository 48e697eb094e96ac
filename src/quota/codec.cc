#include <algorithm>

#include "comfreystand/quota_messages.h"

namespace comfreystand::quota {
namespace {

constexpr uint8_t kVersion = 1;
constexpr uint8_t kPledges = 1;
constexpr uint8_t kHasPrevious = 2;
constexpr uint8_t kDeclines = 1;
constexpr size_t kHeaderBytes = 55;
constexpr size_t kEntryBytes = 21;
constexpr size_t kMaxEntries = (kMaxDatagramBytes - kHeaderBytes) / kEntryBytes;

// Integers are little-endian.
template <typename Value>
void Put(std::string* out, Value value) {
  auto bits = static_cast<uint64_t>(value);
  for (size_t i = 0; i < sizeof(Value); ++i) {
    out->push_back(static_cast<char>(bits & 0xff));
    bits >>= 8;
  }
}

// Reads from bytes whose number has been checked.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  template <typename Value>
  Value Get() {
    uint64_t bits = 0;
    for (size_t i = 0; i < sizeof(Value); ++i) {
      bits |= static_cast<uint64_t>(static_cast<uint8_t>(bytes_[i])) << (8 * i);
    }
    bytes_.remove_prefix(sizeof(Value));
    return static_cast<Value>(bits);
  }

 private:
  std::string_view bytes_;
};

template <typename Entry, typename Encode>
size_t PutSome(std::vector<Entry>* entries, size_t room, Encode encode) {
  const size_t count = std::min(room, entries->size());
  std::for_each(entries->begin(),
                entries->begin() + static_cast<ptrdiff_t>(count), encode);
  entries->erase(entries->begin(),
                 entries->begin() + static_cast<ptrdiff_t>(count));
  return count;
}

}  // namespace

std::string EncodeSome(Datagram* datagram) {
  const size_t answers = std::min(kMaxEntries, datagram->answers.size());
  const size_t asks = std::min(kMaxEntries - answers, datagram->asks.size());
  std::string out;
  out.reserve(kHeaderBytes + (answers + asks) * kEntryBytes);
  Put(&out, kVersion);
  Put(&out, static_cast<uint8_t>(asks));
  Put(&out, static_cast<uint8_t>(answers));
  Put(&out, datagram->sender);
  Put(&out, datagram->incarnation);
  Put(&out, datagram->receiver);
  Put(&out, datagram->stamp);
  Put(&out, datagram->echoed_incarnation);
  Put(&out, datagram->echoed_stamp);
  Put(&out, datagram->fleet_size);
  Put(&out, datagram->fleet_age_s);
  PutSome(&datagram->asks, asks, [&](const Ask& ask) {
    Put(&out, ask.organisation.value);
    Put(&out, ask.sequence);
    Put(&out, ask.wanted);
    Put(&out, ask.returned);
    Put(&out, ask.use_milli);
    Put(&out, static_cast<uint8_t>((ask.pledges ? kPledges : 0) |
                                   (ask.has_previous ? kHasPrevious : 0)));
  });
  PutSome(&datagram->answers, answers, [&](const Answer& answer) {
    Put(&out, answer.organisation.value);
    Put(&out, answer.sequence);
    Put(&out, answer.tokens);
    Put(&out, answer.wait_ms);
    Put(&out, answer.standby_milli);
    Put(&out, static_cast<uint8_t>(answer.declines ? kDeclines : 0));
  });
  return out;
}

std::optional<Datagram> Decode(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes || bytes.size() > kMaxDatagramBytes) {
    return std::nullopt;
  }
  Reader reader(bytes);
  const auto version = reader.Get<uint8_t>();
  const auto asks = reader.Get<uint8_t>();
  const auto answers = reader.Get<uint8_t>();
  if (version != kVersion ||
      bytes.size() != kHeaderBytes + (size_t{asks} + answers) * kEntryBytes) {
    return std::nullopt;
  }
  Datagram datagram;
  datagram.sender = reader.Get<uint64_t>();
  datagram.incarnation = reader.Get<uint64_t>();
  datagram.receiver = reader.Get<uint64_t>();
  datagram.stamp = reader.Get<int64_t>();
  datagram.echoed_incarnation = reader.Get<uint64_t>();
  datagram.echoed_stamp = reader.Get<int64_t>();
  datagram.fleet_size = reader.Get<uint16_t>();
  datagram.fleet_age_s = reader.Get<uint16_t>();
  datagram.asks.resize(asks);
  for (Ask& ask : datagram.asks) {
    ask.organisation = OrganisationKey(reader.Get<uint64_t>());
    ask.sequence = reader.Get<uint32_t>();
    ask.wanted = reader.Get<uint16_t>();
    ask.returned = reader.Get<uint16_t>();
    ask.use_milli = reader.Get<uint32_t>();
    const auto flags = reader.Get<uint8_t>();
    if ((flags & ~(kPledges | kHasPrevious)) != 0) {
      return std::nullopt;
    }
    ask.pledges = (flags & kPledges) != 0;
    ask.has_previous = (flags & kHasPrevious) != 0;
  }
  datagram.answers.resize(answers);
  for (Answer& answer : datagram.answers) {
    answer.organisation = OrganisationKey(reader.Get<uint64_t>());
    answer.sequence = reader.Get<uint32_t>();
    answer.tokens = reader.Get<uint16_t>();
    answer.wait_ms = reader.Get<uint16_t>();
    answer.standby_milli = reader.Get<uint32_t>();
    const auto flags = reader.Get<uint8_t>();
    if ((flags & ~kDeclines) != 0) {
      return std::nullopt;
    }
    answer.declines = flags != 0;
  }
  return datagram;
}

}  // namespace comfreystand::quota
