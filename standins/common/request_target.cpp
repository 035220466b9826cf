#include "standins/common/request_target.h"

#include <charconv>

namespace laburnumkeel::standins {

namespace {

constexpr int kHexadecimal = 16;

// Leaves a percent sign without two digits as it is.
std::string Decode(std::string_view text) {
  std::string result;
  for (std::size_t index = 0; index < text.size(); ++index) {
    unsigned char byte = 0;
    const std::string_view digits = text.substr(index).substr(0, 3);
    if (digits.size() == 3 && digits[0] == '%' &&
        std::from_chars(digits.data() + 1, digits.data() + 3, byte,
                        kHexadecimal)
                .ptr == digits.data() + 3) {
      result += static_cast<char>(byte);
      index += 2;
    } else {
      result += text[index];
    }
  }
  return result;
}

}  // namespace

RequestTarget ParseRequestTarget(std::string_view text) {
  const std::size_t question_mark = text.find('?');
  RequestTarget target{Decode(text.substr(0, question_mark)), {}};
  std::string_view query = question_mark == std::string_view::npos
                               ? std::string_view()
                               : text.substr(question_mark + 1);
  while (!query.empty()) {
    const std::size_t separator = query.find('&');
    const std::string_view part = query.substr(0, separator);
    const std::size_t equals = part.find('=');
    target.parameters[Decode(part.substr(0, equals))] =
        equals == std::string_view::npos ? "" : Decode(part.substr(equals + 1));
    query = separator == std::string_view::npos ? std::string_view()
                                                : query.substr(separator + 1);
  }
  return target;
}

}  // namespace laburnumkeel::standins
