#ifndef LABURNUMKEEL_PROGRAMS_PROXY_SERVICE_WATCH_H_
#define LABURNUMKEEL_PROGRAMS_PROXY_SERVICE_WATCH_H_

#include <map>
#include <optional>
#include <string>

#include "laburnumkeel/kernel/clock.h"
#include "laburnumkeel/promotion/change_plan.h"

namespace laburnumkeel::proxy {

// A change of a service's primary under way.
struct ServiceChange {
  bool is_planned = false;
  // Announced on a first doubt: nothing is paused yet, and the change is
  // cancelled when the primary answers.
  bool is_tentative = false;
  model::Term next_term = 0;
  kernel::Instant started;
  // Read leases obtained before have expired from then on; empty until the
  // store has taken the announcement.
  std::optional<kernel::Instant> read_leases_expire_at;
  bool is_announcing = false;
  bool is_calling = false;
  bool is_publishing = false;
  std::string promoting;
  // The platform takes a while to carry out an accepted call.
  kernel::Instant call_again_at;
  std::map<std::string, promotion::ChangeMember> members;
  std::map<std::string, kernel::Instant> asked;
  promotion::ChangeStep last_step;
};

// What the leader knows of a service's primary.
struct ServiceWatch {
  kernel::Instant last_answer;
  kernel::Instant asked;
  bool is_asking = false;
  // The primary answered as a replica, or its process is a new one.
  bool has_lost_lead = false;
  model::Term term = 0;
  bool is_publishing = false;
  std::optional<ServiceChange> change;
  // When each replica was last asked for its delay.
  std::map<std::string, kernel::Instant> replica_asked;
};

}  // namespace laburnumkeel::proxy

#endif  // LABURNUMKEEL_PROGRAMS_PROXY_SERVICE_WATCH_H_
