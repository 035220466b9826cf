#include "standins/standin-endpoint/term_state.h"

namespace laburnumkeel::standins {

bool TermState::Seal(model::Term term, const std::string& new_promoter) {
  if (new_promoter.empty() || term < this->sealed_term) {
    return false;
  }
  if (term == this->sealed_term) {
    return this->promoter == new_promoter;
  }
  this->sealed_term = term;
  this->promoter = new_promoter;
  this->role = model::EndpointRole::kReplica;
  return true;
}

bool TermState::Join(model::Term term) {
  if (term < this->sealed_term || term == 0) {
    return false;
  }
  if (term == this->sealed_term) {
    return !this->IsPrimary();
  }
  this->sealed_term = term;
  this->promoter.clear();
  this->role = model::EndpointRole::kReplica;
  return true;
}

bool TermState::CanPromote(model::Term term,
                           const std::string& requesting_promoter,
                           model::Term last_log_term) const {
  return !requesting_promoter.empty() && term == this->sealed_term &&
         this->promoter == requesting_promoter &&
         (this->IsPrimary() || last_log_term < term);
}

}  // namespace laburnumkeel::standins
