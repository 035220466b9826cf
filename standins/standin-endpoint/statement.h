#ifndef LABURNUMKEEL_STANDINS_ENDPOINT_STATEMENT_H_
#define LABURNUMKEEL_STANDINS_ENDPOINT_STATEMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laburnumkeel::standins {

enum class StatementKind { kGet, kPut, kAdd };

struct Statement {
  StatementKind kind = StatementKind::kGet;
  std::string key;
  // The value of a `PUT`; may contain spaces.
  std::string value;
  // The amount of an `ADD`.
  std::int64_t amount = 0;

  bool operator==(const Statement&) const = default;
};

// Reads `GET key`, `PUT key value` or `ADD key amount`; empty when malformed.
std::optional<Statement> ParseStatement(std::string_view text);

// A decimal number, or empty.
std::optional<std::int64_t> ParseNumber(std::string_view text);

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_ENDPOINT_STATEMENT_H_
