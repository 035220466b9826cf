#ifndef LABURNUMKEEL_TRANSPORT_HTTP_MESSAGE_H_
#define LABURNUMKEEL_TRANSPORT_HTTP_MESSAGE_H_

#include <map>
#include <string>

namespace laburnumkeel::transport {

struct HttpRequest {
  std::string method = "GET";
  // Path with query, such as `/v1/status?wait_ms=500`. In a request received by
  // `HttpServer` the query is in `parameters` instead.
  std::string target = "/";
  std::map<std::string, std::string> headers;
  std::string body;
  // Route variables and query parameters; filled in by `HttpServer` only.
  std::map<std::string, std::string> parameters;

  bool operator==(const HttpRequest&) const = default;

  // The value of the header (the name is case-insensitive), or an empty string.
  std::string Header(const std::string& name) const;

  // The value of the route variable or query parameter, or an empty string.
  std::string Parameter(const std::string& name) const;
};

struct HttpResponse {
  int status = 200;
  std::map<std::string, std::string> headers;
  std::string body;

  bool operator==(const HttpResponse&) const = default;

  // The value of the header (the name is case-insensitive), or an empty string.
  std::string Header(const std::string& name) const;
};

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_HTTP_MESSAGE_H_
