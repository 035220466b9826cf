#ifndef LABURNUMKEEL_MODEL_OUTCOME_H_
#define LABURNUMKEEL_MODEL_OUTCOME_H_

#include <string_view>

namespace laburnumkeel::model {

// What is known about a request after it ended.
enum class Outcome {
  // The whole answer arrived and, for a write, was confirmed.
  kDone,
  // Proven not executed: nothing was sent, or the endpoint refused it before
  // running.
  kNotRun,
  // It may or may not have been executed.
  kUnknown,
};

std::string_view ToString(Outcome outcome);

}  // namespace laburnumkeel::model

#endif  // LABURNUMKEEL_MODEL_OUTCOME_H_
