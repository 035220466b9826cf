#ifndef LABURNUMKEEL_STANDINS_ENDPOINT_TERM_STATE_H_
#define LABURNUMKEEL_STANDINS_ENDPOINT_TERM_STATE_H_

#include <string>

#include "laburnumkeel/model/endpoint_status.h"
#include "laburnumkeel/model/log_position.h"

namespace laburnumkeel::standins {

// The highest term an endpoint has sealed or joined, and its role in it.
class TermState {
 public:
  // Accepts a term higher than any before, or the same term again from the
  // same promoter. A primary of a lower term becomes a replica.
  bool Seal(model::Term term, const std::string& promoter);

  // Accepts replication from the primary of `term`. Returns false for a lower
  // term and for the term in which this endpoint is itself the primary.
  bool Join(model::Term term);

  // True when the promoter that sealed `term` here may make this endpoint its
  // primary. `last_log_term` shows whether the term has a primary already.
  bool CanPromote(model::Term term, const std::string& promoter,
                  model::Term last_log_term) const;

  void BecomePrimary() { this->role = model::EndpointRole::kPrimary; }

  model::Term SealedTerm() const { return this->sealed_term; }
  model::EndpointRole Role() const { return this->role; }
  bool IsPrimary() const { return this->role == model::EndpointRole::kPrimary; }

 private:
  model::Term sealed_term = 0;
  // Empty when the term was joined through replication.
  std::string promoter;
  model::EndpointRole role = model::EndpointRole::kReplica;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_ENDPOINT_TERM_STATE_H_
