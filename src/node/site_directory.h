#ifndef COMFREYSTAND_SRC_NODE_SITE_DIRECTORY_H_
#define COMFREYSTAND_SRC_NODE_SITE_DIRECTORY_H_

#include <string>
#include <vector>

#include "comfreystand/edge.h"
#include "comfreystand/member.h"
#include "comfreystand/steer/lookup.h"

namespace comfreystand::node {

// Brings the look-up up to date with the live view: which sites are live, and
// which entry VMs each lists.
class SiteDirectory {
 public:
  // `edge_port` is the port that every entry VM of the deployment listens on
  // for callers.
  SiteDirectory(steer::SiteLookup* lookup, std::string edge_port);

  // Sets the sites' states and returns the entry VMs that each site lists, in
  // an order that differs between the nodes' callers by `rotation`.
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
