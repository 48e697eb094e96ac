#ifndef COMFREYSTAND_SRC_NODE_SITE_DIRECTORY_H_
#define COMFREYSTAND_SRC_NODE_SITE_DIRECTORY_H_

#include <string>
#include <vector>

#include "comfreystand/edge.h"
#include "comfreystand/member.h"
#include "comfreystand/steer/lookup.h"

namespace comfreystand::node {

// Updates the look-up from the membership: which sites are live, and which
// entry VMs each site lists.
class SiteDirectory {
 public:
  // `edge_port` is the port that every entry VM of the deployment listens on
  // for callers.
  SiteDirectory(steer::SiteLookup* lookup, std::string edge_port);

  // Sets the states of the sites and returns the entry VMs that each site
  // lists. The lists are sorted and then rotated by `rotation`, so that callers
  // of different nodes start with different entry VMs.
  std::vector<edge::SiteAddresses> Update(
      const std::vector<member::DomainInfo>& domains,
      size_t rotation);

 private:
  edge::SiteAddresses UpdateSite(SiteId site,
                                 const std::vector<member::DomainInfo>& domains,
                                 size_t rotation);

  steer::SiteLookup* lookup_;
  std::string edge_port_;
};

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_SRC_NODE_SITE_DIRECTORY_H_
