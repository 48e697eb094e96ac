#ifndef COMFREYSTAND_SRC_EDGE_LOOKUP_REPLY_H_
#define COMFREYSTAND_SRC_EDGE_LOOKUP_REPLY_H_

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/edge.h"

namespace comfreystand::edge {

// Renders look-up answers from text prepared for each site. An answer lists
// sites best first; within a site clients start at different entry VMs.
class LookupReply {
 public:
  void SetSites(const std::vector<SiteAddresses>& sites);

  // The whole answer with its head, valid until the next call.
  std::string_view Render(const steer::LookupAnswer& answer,
                          const steer::ClientAddress& client,
                          bool keep_alive,
                          bool head_request);

 private:
  struct Site {
    // One text for each entry VM that comes first.
    std::vector<std::string> rotations;
  };

  std::string_view Fragment(SiteId site, uint64_t client_hash) const;

  std::vector<Site> sites_;
  std::vector<char> body_;
  std::vector<char> text_;
};

// Finds the value of `name` in a raw query. Returns false when it is missing.
bool FindQueryValue(std::string_view query,
                    std::string_view name,
                    std::string_view* value);

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_LOOKUP_REPLY_H_
