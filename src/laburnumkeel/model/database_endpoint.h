#ifndef LABURNUMKEEL_MODEL_DATABASE_ENDPOINT_H_
#define LABURNUMKEEL_MODEL_DATABASE_ENDPOINT_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace laburnumkeel::model {

// An endpoint's registration of itself.
struct DatabaseEndpoint {
  std::string id;
  std::string service;
  // `IP:port`.
  std::string address;
  std::string data_centre;
  // Number of statements that it runs concurrently.
  int slots = 1;
  // It is about to leave and accepts no new work.
  bool is_draining = false;
  // It considers itself the primary.
  bool claims_primary = false;
  // Remaining time for which it is slow after its start.
  std::chrono::milliseconds warm_up_remaining{0};
  // Start time in Unix milliseconds; a different value under the same id means
  // that the process was restarted.
  std::int64_t started_at_ms = 0;

  bool operator==(const DatabaseEndpoint&) const = default;
};

}  // namespace laburnumkeel::model

#endif  // LABURNUMKEEL_MODEL_DATABASE_ENDPOINT_H_
