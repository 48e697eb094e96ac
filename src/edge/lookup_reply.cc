#include "src/edge/lookup_reply.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace comfreystand::edge {
namespace {

// Maximum number of prepared rotations of a site's entry VM list. Entry VMs
// beyond this number are never listed first.
constexpr size_t kMaxRotations = 16;
constexpr size_t kMaxEntryVmsListed = 32;
// Space for the head of the response, and for the JSON around the site
// fragments.
constexpr size_t kHeadBytes = 256;
constexpr size_t kNumberBytes = 24;
constexpr size_t kV4MappedPrefixBytes = 12;
// Clients of one address block get the same first entry VM. A block is an
// IPv4 /24 (12 bytes of the mapped prefix and 3 of the address) or an IPv6 /48.
constexpr size_t kV4BlockBytes = 15;
constexpr size_t kV6BlockBytes = 6;

// Appends to a buffer without bounds checks; the caller provides enough space.
class Appender {
 public:
  explicit Appender(char* out) : out_(out) {}

  void Text(std::string_view text) {
    std::memcpy(out_, text.data(), text.size());
    out_ += text.size();
  }
  void Number(int64_t number) {
    out_ = std::to_chars(out_, out_ + kNumberBytes, number).ptr;
  }
  char* end() const { return out_; }

 private:
  char* out_;
};

bool IsV4Mapped(const steer::ClientAddress& client) {
  constexpr std::array<uint8_t, kV4MappedPrefixBytes> kPrefix = {
      0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};
  return std::equal(kPrefix.begin(), kPrefix.end(), client.bytes.begin());
}

uint64_t BlockHash(const steer::ClientAddress& client) {
  const size_t size = IsV4Mapped(client) ? kV4BlockBytes : kV6BlockBytes;
  return StableHash(std::string_view(
      reinterpret_cast<const char*>(client.bytes.data()), size));
}

std::string RenderSite(const SiteAddresses& site, size_t first) {
  std::string text = "{\"site\":\"" + site.name + "\",\"entry_vms\":[";
  const size_t listed = std::min(site.entry_vms.size(), kMaxEntryVmsListed);
  for (size_t i = 0; i < listed; ++i) {
    text += i == 0 ? "\"" : ",\"";
    text += site.entry_vms[(first + i) % site.entry_vms.size()] + "\"";
  }
  return text + "]}";
}

}  // namespace

void LookupReply::SetSites(const std::vector<SiteAddresses>& sites) {
  sites_.clear();
  size_t longest = 0;
  for (const SiteAddresses& site : sites) {
    if (site.entry_vms.empty() || !site.id.IsValid()) {
      continue;
    }
    sites_.resize(std::max<size_t>(sites_.size(), site.id.value + size_t{1}));
    Site& entry = sites_[site.id.value];
    const size_t count = std::min(site.entry_vms.size(), kMaxRotations);
    for (size_t first = 0; first < count; ++first) {
      entry.rotations.push_back(RenderSite(site, first));
      longest = std::max(longest, entry.rotations.back().size());
    }
  }
  body_.resize(steer::kMaxAnswerSites * (longest + 1) + kHeadBytes);
  response_.resize(body_.size() + kHeadBytes);
}

std::string_view LookupReply::SiteFragment(SiteId site,
                                           uint64_t client_hash) const {
  if (site.value >= sites_.size() || sites_[site.value].rotations.empty()) {
    return {};
  }
  const auto& rotations = sites_[site.value].rotations;
  return rotations[client_hash % rotations.size()];
}

std::string_view LookupReply::Render(const steer::LookupAnswer& answer,
                                     const steer::ClientAddress& client,
                                     bool keep_alive,
                                     bool head_request) {
  if (body_.empty()) {
    SetSites({});
  }
  const uint64_t hash = BlockHash(client);
  const int64_t millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(answer.ttl).count();
  Appender body(body_.data());
  body.Text("{\"ttl_ms\":");
  body.Number(millis);
  body.Text(",\"sites\":[");
  bool first = true;
  for (const SiteId site : answer.Sites()) {
    const std::string_view fragment = SiteFragment(site, hash);
    if (!fragment.empty()) {
      body.Text(first ? "" : ",");
      body.Text(fragment);
      first = false;
    }
  }
  body.Text("]}\n");
  const auto size = static_cast<size_t>(body.end() - body_.data());
  Appender text(response_.data());
  text.Text(
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
      "Cache-Control: max-age=");
  constexpr int64_t kMillisPerSecond = 1'000;
  text.Number(millis / kMillisPerSecond);
  text.Text("\r\nContent-Length: ");
  text.Number(static_cast<int64_t>(size));
  text.Text(keep_alive ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n");
  if (!head_request) {
    text.Text({body_.data(), size});
  }
  return {response_.data(), static_cast<size_t>(text.end() - response_.data())};
}

bool FindQueryValue(std::string_view query,
                    std::string_view name,
                    std::string_view* value) {
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    if (pair.size() > name.size() && pair[name.size()] == '=' &&
        pair.starts_with(name)) {
      *value = pair.substr(name.size() + 1);
      return true;
    }
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
  }
  return false;
}

}  // namespace comfreystand::edge
