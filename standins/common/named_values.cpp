#include "standins/common/named_values.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <set>

namespace laburnumkeel::standins {

namespace {

bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(text.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, number_error] =
      std::from_chars(text.data() + colon + 1, text_end, port);
  return !error && number_error == std::errc() && end == text_end && port > 0;
}

}  // namespace

std::optional<std::vector<std::pair<std::string, std::string>>>
ParseNamedValues(std::string_view text) {
  std::vector<std::pair<std::string, std::string>> result;
  std::set<std::string> names;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view part = text.substr(0, comma);
    const std::size_t equals = part.find('=');
    if (equals == std::string_view::npos || equals == 0) {
      return std::nullopt;
    }
    const std::string name(part.substr(0, equals));
    if (!names.insert(name).second) {
      return std::nullopt;
    }
    result.emplace_back(name, part.substr(equals + 1));
    text = comma == std::string_view::npos ? "" : text.substr(comma + 1);
  }
  return result;
}

std::optional<std::vector<std::pair<std::string, std::string>>>
ParseNamedAddresses(std::string_view text) {
  auto result = ParseNamedValues(text);
  if (result.has_value() &&
      !std::all_of(result->begin(), result->end(),
                   [](const auto& part) { return IsAddress(part.second); })) {
    return std::nullopt;
  }
  return result;
}

}  // namespace laburnumkeel::standins
