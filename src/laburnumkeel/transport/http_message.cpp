#include "laburnumkeel/transport/http_message.h"

#include <strings.h>

namespace laburnumkeel::transport {

namespace {

std::string FindHeader(const std::map<std::string, std::string>& headers,
                       const std::string& name) {
  for (const auto& [candidate, value] : headers) {
    if (strcasecmp(candidate.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

}  // namespace

std::string HttpRequest::Header(const std::string& name) const {
  return FindHeader(this->headers, name);
}

std::string HttpRequest::Parameter(const std::string& name) const {
  const auto entry = this->parameters.find(name);
  return entry == this->parameters.end() ? "" : entry->second;
}

std::string HttpResponse::Header(const std::string& name) const {
  return FindHeader(this->headers, name);
}

}  // namespace laburnumkeel::transport
