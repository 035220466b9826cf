#ifndef LABURNUMKEEL_MODEL_OUTCOME_H_
#define LABURNUMKEEL_MODEL_OUTCOME_H_

#include <string_view>

namespace laburnumkeel::model {

// Outcome of a request, as far as it is known.
enum class Outcome {
  // The whole response arrived and a write was confirmed.
  kDone,
  // It was certainly not executed: nothing was sent, or the endpoint refused it
  // before running it.
  kNotRun,
  // It may or may not have been executed.
  kUnknown,
};

std::string_view ToString(Outcome outcome);

}  // namespace laburnumkeel::model

#endif  // LABURNUMKEEL_MODEL_OUTCOME_H_
