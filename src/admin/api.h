#ifndef COMFREYSTAND_SRC_ADMIN_API_H_
#define COMFREYSTAND_SRC_ADMIN_API_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "comfreystand/admin.h"

// Request handling of the administration API, independent of the HTTP server.
namespace comfreystand::admin {

enum class Method : uint8_t { kGet, kPost, kOther };

struct ApiRequest {
  Method method = Method::kOther;
  std::string path;
  std::map<std::string, std::string, std::less<>> query;
  std::string body;
  // Value of the Authorization header, or empty.
  std::string authorization;
};

struct ApiReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::map<std::string, std::string> headers;
};

using ReplyCallback = std::function<void(ApiReply reply)>;

// Authenticates requests and dispatches them to their handlers.
class Api {
 public:
  Api(const AdminInit& init, AdminBackend* backend, AdminStats* stats)
      : init_(init), backend_(backend), stats_(stats) {}

  // Handles a request. `done` may be called before this returns or later.
  void Handle(const ApiRequest& request, const ReplyCallback& done);

 private:
  using Handler = void (Api::*)(const ApiRequest& request,
                                const std::string& token_holder,
                                const ReplyCallback& done);
  struct Route {
    Method method;
    std::string_view path;
    Handler handler;
  };

  static std::span<const Route> Routes();

  void GetRules(const ApiRequest& request,
                const std::string& token_holder,
                const ReplyCallback& done);
  void PostRules(const ApiRequest& request,
                 const std::string& token_holder,
                 const ReplyCallback& done);
  void GetDiff(const ApiRequest& request,
               const std::string& token_holder,
               const ReplyCallback& done);
  void PostChange(const ApiRequest& request,
                  const std::string& token_holder,
                  const ReplyCallback& done);
  void PostDrain(const ApiRequest& request,
                 const std::string& token_holder,
                 const ReplyCallback& done);
  void GetHistory(const ApiRequest& request,
                  const std::string& token_holder,
                  const ReplyCallback& done);
  void GetAudit(const ApiRequest& request,
                const std::string& token_holder,
                const ReplyCallback& done);
  void GetStatus(const ApiRequest& request,
                 const std::string& token_holder,
                 const ReplyCallback& done);

  void ReadEntries(const ApiRequest& request,
                   bool with_diff,
                   const ReplyCallback& done);
  // Counts and answers a request with invalid content.
  void Reject(int status, std::string message, const ReplyCallback& done);

  const AdminInit& init_;
  AdminBackend* backend_;
  AdminStats* stats_;
};

}  // namespace comfreystand::admin

#endif  // COMFREYSTAND_SRC_ADMIN_API_H_
