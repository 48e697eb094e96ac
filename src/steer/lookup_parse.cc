#include <algorithm>
#include <charconv>
#include <unordered_map>
#include <utility>

#include "src/steer/lookup_key.h"

namespace comfreystand::steer {
namespace {

// Returns the text up to the next `separator` and removes both from `rest`.
std::string_view ConsumeUntil(char separator, std::string_view* rest) {
  const size_t end = rest->find(separator);
  const std::string_view part = rest->substr(0, end);
  rest->remove_prefix(end == std::string_view::npos ? rest->size() : end + 1);
  return part;
}

template <typename Number>
bool ParseNumber(std::string_view text, Number* number) {
  const char* end = text.data() + text.size();
  const auto [stop, code] = std::from_chars(text.data(), end, *number);
  return code == std::errc() && stop == end;
}

// Sorts by start and length. Returns false when two entries have the same
// prefix.
bool SortUnique(std::vector<BlockDelta::Entry>* entries) {
  using Entry = BlockDelta::Entry;
  std::sort(entries->begin(), entries->end(),
            [](const Entry& a, const Entry& b) {
              return a.start != b.start ? a.start < b.start : a.bits < b.bits;
            });
  const auto duplicate = std::adjacent_find(
      entries->begin(), entries->end(), [](const Entry& a, const Entry& b) {
        return a.start == b.start && a.bits == b.bits;
      });
  return duplicate == entries->end();
}

class Parser {
 public:
  explicit Parser(std::string_view text) : rest_(text) {}

  std::optional<BlockDelta> Run(BlockError* error) {
    if (ParseAll()) {
      return std::move(delta_);
    }
    *error = {line_, message_};
    return std::nullopt;
  }

 private:
  bool Fail(std::string_view message) {
    message_ = message;
    return false;
  }

  bool ParseAll() {
    if (!ParseHeader(NextLine())) {
      return false;
    }
    while (!rest_.empty()) {
      if (!ParseLine(NextLine())) {
        return false;
      }
    }
    if (!SortUnique(&delta_.ipv4) || !SortUnique(&delta_.ipv6)) {
      return Fail("a prefix is listed twice");
    }
    return true;
  }

  std::string_view NextLine() {
    ++line_;
    return ConsumeUntil('\n', &rest_);
  }

  bool ParseHeader(std::string_view line) {
    const std::string_view kind = ConsumeUntil(' ', &line);
    if (ConsumeUntil(' ', &line) != "1" ||
        (kind != "blocks" && kind != "delta")) {
      return Fail("expected \"blocks 1 VERSION\" or \"delta 1 FROM TO\"");
    }
    is_delta_ = kind == "delta";
    if (is_delta_ &&
        (!ParseNumber(ConsumeUntil(' ', &line), &delta_.from_version) ||
         delta_.from_version == 0)) {
      return Fail("expected the version that the delta applies to");
    }
    if (!ParseNumber(line, &delta_.version) ||
        delta_.version <= delta_.from_version) {
      return Fail("expected a version above zero and above the base version");
    }
    return true;
  }

  bool ParseLine(std::string_view line) {
    if (line.empty() || line.front() == '#') {
      return true;
    }
    const std::string_view kind = ConsumeUntil(' ', &line);
    if (kind == "block") {
      return ParseBlock(line);
    }
    if (kind == "order") {
      return ParseOrder(line);
    }
    if (kind == "remove" && is_delta_) {
      return AddEntry(line, OrderId());
    }
    return Fail("expected \"order\", \"block\" or, in a delta, \"remove\"");
  }

  bool ParseOrder(std::string_view line) {
    size_t number = 0;
    if (!ParseNumber(ConsumeUntil(' ', &line), &number) ||
        number != delta_.orders.size()) {
      return Fail("orders must be numbered 0, 1, 2 ...");
    }
    if (number >= (is_delta_ ? limits::kMaxDeltaOrders : limits::kMaxOrders)) {
      return Fail("too many orders");
    }
    NearnessOrder order;
    uint8_t tier = 0;
    while (!line.empty()) {
      std::string_view word = ConsumeUntil(' ', &line);
      do {
        if (!AddSite(ConsumeUntil(',', &word), tier, &order)) {
          return false;
        }
      } while (!word.empty());
      ++tier;
    }
    if (order.count == 0) {
      return Fail("an order needs at least one site");
    }
    delta_.orders.push_back(order);
    return true;
  }

  bool AddSite(std::string_view name, uint8_t tier, NearnessOrder* order) {
    if (name.empty() || name.size() > limits::kMaxNameBytes) {
      return Fail("expected a site name");
    }
    if (order->count == limits::kMaxOrderSites) {
      return Fail("too many sites in one order");
    }
    const auto [entry, added] =
        site_numbers_.emplace(name, static_cast<uint16_t>(delta_.sites.size()));
    if (added) {
      if (delta_.sites.size() == limits::kMaxSites) {
        return Fail("too many sites");
      }
      delta_.sites.emplace_back(name);
    }
    const auto end = order->sites.begin() + order->count;
    if (std::find(order->sites.begin(), end, entry->second) != end) {
      return Fail("an order lists a site twice");
    }
    order->sites[order->count] = entry->second;
    order->tiers[order->count] = tier;
    ++order->count;
    return true;
  }

  bool ParseBlock(std::string_view line) {
    const std::string_view prefix = ConsumeUntil(' ', &line);
    uint16_t number = 0;
    if (!ParseNumber(line, &number) || number >= delta_.orders.size()) {
      return Fail("expected the number of an order above");
    }
    return AddEntry(prefix, OrderId(number));
  }

  bool AddEntry(std::string_view prefix, OrderId order) {
    if (delta_.ipv4.size() + delta_.ipv6.size() == limits::kMaxBlocks) {
      return Fail("too many blocks");
    }
    const std::optional<ClientAddress> address =
        ParseClientAddress(ConsumeUntil('/', &prefix));
    unsigned bits = 0;
    if (!address || !ParseNumber(prefix, &bits)) {
      return Fail("expected a prefix such as 192.0.2.0/24 or 2001:db8::/32");
    }
    return IsIpv4(*address)
               ? AddPrefix(Ipv4Key(*address), 32, bits, order, &delta_.ipv4)
               : AddIpv6(*address, bits, order);
  }

  bool AddIpv6(const ClientAddress& address, unsigned bits, OrderId order) {
    if (!std::all_of(address.bytes.begin() + 8, address.bytes.end(),
                     [](uint8_t byte) { return byte == 0; })) {
      return Fail("an IPv6 prefix has at most 64 bits");
    }
    return AddPrefix(Ipv6Key(address), 64, bits, order, &delta_.ipv6);
  }

  bool AddPrefix(uint64_t start,
                 unsigned key_bits,
                 unsigned bits,
                 OrderId order,
                 std::vector<BlockDelta::Entry>* entries) {
    if (bits > key_bits) {
      return Fail("the prefix is longer than 32 bits (IPv4) or 64 (IPv6)");
    }
    const uint64_t host_mask = bits == 0
                                   ? ~uint64_t{0} >> (64 - key_bits)
                                   : (uint64_t{1} << (key_bits - bits)) - 1;
    if ((start & host_mask) != 0) {
      return Fail("the address has bits set beyond the prefix");
    }
    entries->push_back({start, static_cast<uint8_t>(bits), order});
    return true;
  }

  std::string_view rest_;
  int line_ = 0;
  std::string message_;
  bool is_delta_ = false;
  BlockDelta delta_;
  std::unordered_map<std::string_view, uint16_t> site_numbers_;
};

}  // namespace

std::optional<BlockDelta> ParseBlocks(std::string_view text,
                                      BlockError* error) {
  return Parser(text).Run(error);
}

}  // namespace comfreystand::steer
