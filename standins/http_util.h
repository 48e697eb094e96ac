#ifndef STANDINS_HTTP_UTIL_H_
#define STANDINS_HTTP_UTIL_H_

#include <cstdint>
#include <string>
#include <string_view>

struct evhtp;
struct evhtp_request;

// Helpers that all stand-ins share for libevhtp requests.
namespace comfreystand::standins {

// Binds to "a.b.c.d:port" and returns the port, or 0 when that failed.
uint16_t BindServer(evhtp* server, const std::string& address);

std::string PathOf(evhtp_request* request);
std::string BodyOf(evhtp_request* request);

// Value of a query parameter, percent-decoded, or empty.
std::string QueryText(evhtp_request* request, const char* name);
int64_t QueryNumber(evhtp_request* request, const char* name);

// Adds a header whose name and value are copied.
void AddHeader(evhtp_request* request,
               const char* name,
               const std::string& value);

// Sends a whole answer.
void SendAnswer(evhtp_request* request, int status, std::string_view body);

// Ends the connection of a request without answering it.
void DropConnection(evhtp_request* request);

}  // namespace comfreystand::standins

#endif  // STANDINS_HTTP_UTIL_H_
