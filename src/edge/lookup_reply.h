#ifndef COMFREYSTAND_SRC_EDGE_LOOKUP_REPLY_H_
#define COMFREYSTAND_SRC_EDGE_LOOKUP_REPLY_H_

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/edge.h"

namespace comfreystand::edge {

// Renders look-up answers from JSON fragments prepared for each site. An answer
// lists the best site first. Within a site, the first entry VM depends on the
// client's address block, which spreads clients over the entry VMs.
class LookupReply {
 public:
  void SetSites(const std::vector<SiteAddresses>& sites);

  // Returns the complete HTTP response, valid until the next call.
  std::string_view Render(const steer::LookupAnswer& answer,
                          const steer::ClientAddress& client,
                          bool keep_alive,
                          bool head_request);

 private:
  struct Site {
    // JSON fragments of the site, each of which lists another entry VM first.
    std::vector<std::string> rotations;
  };

  std::string_view SiteFragment(SiteId site, uint64_t client_hash) const;

  std::vector<Site> sites_;
  std::vector<char> body_;
  std::vector<char> response_;
};

// Finds the value of `name` in a query string without decoding it. Returns
// false when it is missing.
bool FindQueryValue(std::string_view query,
                    std::string_view name,
                    std::string_view* value);

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_LOOKUP_REPLY_H_
