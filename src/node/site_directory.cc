#include "src/node/site_directory.h"

#include <algorithm>
#include <utility>

#include "src/node/addresses.h"

namespace comfreystand::node {
namespace {

using member::DomainInfo;
using member::MemberInfo;
using member::MemberState;

bool IsListed(const MemberInfo& member) {
  return member.state == MemberState::kAlive && !member.address.empty();
}

}  // namespace

SiteDirectory::SiteDirectory(steer::SiteLookup* lookup, std::string edge_port)
    : lookup_(lookup), edge_port_(std::move(edge_port)) {}

std::vector<edge::SiteAddresses> SiteDirectory::Update(
    const std::vector<DomainInfo>& domains,
    size_t rotation) {
  std::vector<edge::SiteAddresses> sites;
  for (size_t i = 0; i < lookup_->SiteCount(); ++i) {
    sites.push_back(
        UpdateSite(SiteId(static_cast<uint16_t>(i)), domains, rotation));
  }
  return sites;
}

edge::SiteAddresses SiteDirectory::UpdateSite(
    SiteId site,
    const std::vector<DomainInfo>& domains,
    size_t rotation) {
  edge::SiteAddresses addresses;
  addresses.id = site;
  addresses.name = lookup_->SiteName(site);
  const member::NameKey key = member::MakeNameKey(addresses.name);
  steer::SiteState state;
  state.live = false;
  size_t leaving = 0;
  for (const DomainInfo& domain : domains) {
    for (const MemberInfo& member : domain.members) {
      if (member.site != key)
        continue;
      if (IsListed(member)) {
        addresses.entry_vms.push_back(WithPort(member.address, edge_port_));
        state.live = state.live || domain.current;
      } else if (member.state == MemberState::kLeaving) {
        ++leaving;
      }
    }
  }
  state.leaving = addresses.entry_vms.empty() && leaving > 0;
  std::sort(addresses.entry_vms.begin(), addresses.entry_vms.end());
  if (!addresses.entry_vms.empty()) {
    const size_t first = rotation % addresses.entry_vms.size();
    std::rotate(addresses.entry_vms.begin(),
                addresses.entry_vms.begin() + static_cast<ptrdiff_t>(first),
                addresses.entry_vms.end());
  }
  lookup_->SetSiteState(addresses.name, state);
  return addresses;
}

}  // namespace comfreystand::node
