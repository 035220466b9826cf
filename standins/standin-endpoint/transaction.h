#ifndef LABURNUMKEEL_STANDINS_ENDPOINT_TRANSACTION_H_
#define LABURNUMKEEL_STANDINS_ENDPOINT_TRANSACTION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "laburnumkeel/model/log_position.h"
#include "standins/standin-endpoint/applied_state.h"
#include "standins/standin-endpoint/statement.h"

namespace laburnumkeel::standins {

// What a statement returns.
struct StatementValue {
  // Empty for a `GET` of an absent key.
  std::optional<std::string> text;
};

// Buffered writes and observed keys. A commit is valid when no observed key
// was written since, which makes transactions serializable. A single statement
// runs as a transaction of its own.
class Transaction {
 public:
  explicit Transaction(model::Term term);

  // Runs a statement on the state and the buffered writes. Empty when the value
  // that an `ADD` reads is not a number, or the sum overflows 64 bits.
  std::optional<StatementValue> Run(const Statement& statement,
                                    const AppliedState& state);

  // True when an observed key has been written by others.
  bool HasConflict(const AppliedState& state) const;

  std::vector<KeyWrite> Writes() const;

  // Term in which the transaction began.
  model::Term BeginTerm() const { return this->term; }

 private:
  std::optional<std::string> Read(const std::string& key,
                                  const AppliedState& state);

  model::Term term;
  std::map<std::string, std::uint64_t> observed;
  std::map<std::string, std::string> buffered;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_ENDPOINT_TRANSACTION_H_
