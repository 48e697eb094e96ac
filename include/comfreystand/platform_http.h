#ifndef COMFREYSTAND_PLATFORM_HTTP_H_
#define COMFREYSTAND_PLATFORM_HTTP_H_

#include <string>

#include "comfreystand/http_client.h"
#include "comfreystand/platform.h"

// The platform's services over HTTP.
namespace comfreystand::platform {

// Counters of calls made, by what came back.
struct StoreStats {
  uint64_t calls = 0;
  uint64_t watches = 0;
  uint64_t unavailable = 0;
  uint64_t unknown = 0;
};

class HttpKeyValueStore final : public KeyValueStore {
 public:
  HttpKeyValueStore(event_base* base, std::string address);

  void Get(std::string_view key, ReadCallback done) override;
  void CompareAndSwap(std::string_view key,
                      Revision expected,
                      std::string value,
                      Duration lifetime,
                      WriteCallback done) override;
  void Watch(std::string_view key, Revision known, ReadCallback done) override;
  void List(std::string_view prefix, ListCallback done) override;

  const StoreStats& stats() const { return stats_; }

 private:
  void Count(const http::Response& response);

  http::Client client_;
  StoreStats stats_;
};

// Asks for the list only when it has changed, if the platform names versions
// of it by entity tags.
class HttpVmList final : public VmList {
 public:
  HttpVmList(event_base* base, std::string address);
  void Fetch(VmListCallback done) override;

 private:
  StoreStatus Take(const http::Response& response);

  http::Client client_;
  std::string entity_tag_;
  std::vector<VmEntry> last_;
};

// JSON form of the list, shared with the stand-in.
std::string EncodeVmList(const std::vector<VmEntry>& vms);
bool DecodeVmList(std::string_view json, std::vector<VmEntry>* vms);

}  // namespace comfreystand::platform

#endif  // COMFREYSTAND_PLATFORM_HTTP_H_
