#ifndef LABURNUMKEEL_STANDINS_COMMON_REQUEST_TARGET_H_
#define LABURNUMKEEL_STANDINS_COMMON_REQUEST_TARGET_H_

#include <map>
#include <string>
#include <string_view>

namespace laburnumkeel::standins {

// Path and query of a request, percent-decoded.
struct RequestTarget {
  std::string path;
  std::map<std::string, std::string> parameters;

  bool operator==(const RequestTarget&) const = default;
};

RequestTarget ParseRequestTarget(std::string_view text);

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_COMMON_REQUEST_TARGET_H_
