#ifndef LABURNUMKEEL_ENDPOINTS_TRANSACTION_SCOPE_H_
#define LABURNUMKEEL_ENDPOINTS_TRANSACTION_SCOPE_H_

#include <string>

#include "laburnumkeel/model/log_position.h"

namespace laburnumkeel::endpoints {

// The endpoint and term in which a transaction runs, and its client account.
struct TransactionScope {
  std::string account;
  std::string service;
  std::string group;
  std::string endpoint;
  model::Term term = 0;

  bool operator==(const TransactionScope&) const = default;
};

}  // namespace laburnumkeel::endpoints

#endif  // LABURNUMKEEL_ENDPOINTS_TRANSACTION_SCOPE_H_
