#ifndef LABURNUMKEEL_MODEL_DATABASE_ENDPOINT_H_
#define LABURNUMKEEL_MODEL_DATABASE_ENDPOINT_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace laburnumkeel::model {

// What an endpoint registered about itself.
struct DatabaseEndpoint {
  std::string id;
  std::string service;
  // `IP:port`
  std::string address;
  std::string data_centre;
  // Statements it runs at the same time.
  int slots = 1;
  // It is about to leave and takes no new work.
  bool is_draining = false;
  // It believes that it is the primary.
  bool claims_primary = false;
  // How much longer it is slow after its start.
  std::chrono::milliseconds warm_up_remaining{0};
  // Unix milliseconds of its start; another value under the same id means that
  // the process is a new one.
  std::int64_t started_at_ms = 0;

  bool operator==(const DatabaseEndpoint&) const = default;
};

}  // namespace laburnumkeel::model

#endif  // LABURNUMKEEL_MODEL_DATABASE_ENDPOINT_H_
