#include "standins/standin-endpoint/statement.h"

#include <charconv>

namespace laburnumkeel::standins {

namespace {

// Removes the first word and the space after it.
std::string_view TakeWord(std::string_view& text) {
  const std::size_t space = text.find(' ');
  const std::string_view word = text.substr(0, space);
  text = space == std::string_view::npos ? "" : text.substr(space + 1);
  return word;
}

}  // namespace

std::optional<Statement> ParseStatement(std::string_view text) {
  const std::string_view verb = TakeWord(text);
  const std::string key(TakeWord(text));
  if (key.empty()) {
    return std::nullopt;
  }
  if (verb == "GET" && text.empty()) {
    return Statement{StatementKind::kGet, key, "", 0};
  }
  if (verb == "PUT" && !text.empty()) {
    return Statement{StatementKind::kPut, key, std::string(text), 0};
  }
  const auto amount = ParseNumber(text);
  if (verb == "ADD" && amount.has_value()) {
    return Statement{StatementKind::kAdd, key, "", *amount};
  }
  return std::nullopt;
}

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

}  // namespace laburnumkeel::standins
