#ifndef LABURNUMKEEL_TRANSPORT_HTTP_MESSAGE_H_
#define LABURNUMKEEL_TRANSPORT_HTTP_MESSAGE_H_

#include <map>
#include <string>

namespace laburnumkeel::transport {

struct HttpRequest {
  std::string method = "GET";
  // Path with query, as `/v1/status?wait_ms=500`. In a request received by
  // `HttpServer` the query is in `parameters` instead.
  std::string target = "/";
  std::map<std::string, std::string> headers;
  std::string body;
  // Variables of the route and the query; filled by `HttpServer` only.
  std::map<std::string, std::string> parameters;

  bool operator==(const HttpRequest&) const = default;

  // The header of that name (letter case ignored), or an empty text.
  std::string Header(const std::string& name) const;

  // The route or query variable, or an empty text.
  std::string Parameter(const std::string& name) const;
};

struct HttpResponse {
  int status = 200;
  std::map<std::string, std::string> headers;
  std::string body;

  bool operator==(const HttpResponse&) const = default;

  // The header of that name (letter case ignored), or an empty text.
  std::string Header(const std::string& name) const;
};

}  // namespace laburnumkeel::transport

#endif  // LABURNUMKEEL_TRANSPORT_HTTP_MESSAGE_H_
