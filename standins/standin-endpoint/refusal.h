#ifndef LABURNUMKEEL_STANDINS_ENDPOINT_REFUSAL_H_
#define LABURNUMKEEL_STANDINS_ENDPOINT_REFUSAL_H_

#include <string_view>

namespace laburnumkeel::standins {

// Why a request was not executed.
enum class Refusal {
  kStaleTerm,
  kNotPrimary,
  kNoSlot,
  kDraining,
  kBadStatement,
  // A key that the transaction read was written by another request since. The
  // transaction ended without effect.
  kConflict,
};

// The code in the field `error` of a response.
std::string_view ToString(Refusal refusal);

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_ENDPOINT_REFUSAL_H_
