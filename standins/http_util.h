#ifndef STANDINS_HTTP_UTIL_H_
#define STANDINS_HTTP_UTIL_H_

#include <cstdint>
#include <string>
#include <string_view>

struct evhtp;
struct evhtp_request;

// Helpers for libevhtp servers and requests.
namespace comfreystand::standins {

// Binds to "a.b.c.d:port". Returns the port, or 0 on failure.
uint16_t BindServer(evhtp* server, const std::string& address);

// Percent-decoded path.
std::string RequestPath(evhtp_request* request);
std::string RequestBody(evhtp_request* request);

// Percent-decoded value of a query parameter, or empty.
std::string QueryValue(evhtp_request* request, const char* name);
// Value of a query parameter as a number, or 0.
int64_t QueryNumber(evhtp_request* request, const char* name);

// Adds a response header; copies its name and value.
void AddHeader(evhtp_request* request,
               const char* name,
               const std::string& value);

// Sends a complete response.
void SendResponse(evhtp_request* request, int status, std::string_view body);

// Closes the connection of a request without a response.
void DropConnection(evhtp_request* request);

}  // namespace comfreystand::standins

#endif  // STANDINS_HTTP_UTIL_H_
