#ifndef LABURNUMKEEL_STANDINS_ENDPOINT_REPLICATOR_H_
#define LABURNUMKEEL_STANDINS_ENDPOINT_REPLICATOR_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include "laburnumkeel/transport/http_client.h"
#include "standins/common/origin.h"
#include "standins/standin-endpoint/database.h"

namespace laburnumkeel::standins {

// Sends the entries of a primary to one member, and heartbeats, in a thread of
// its own. Idle while the database is a replica.
class Replicator {
 public:
  // `origin` is the value of the header `Laburnumkeel-Origin`. Nothing is sent
  // while `may_send` returns false for the member, as on an endpoint that is
  // down. The member's data centre is taken from its first response.
  Replicator(Database& database, Origin member, const std::string& address,
             std::string origin, std::function<bool(const Origin&)> may_send);
  ~Replicator();
  Replicator(const Replicator&) = delete;
  Replicator& operator=(const Replicator&) = delete;

  void Start();

  // Returns when the thread has ended; needs `Database::Stop` before.
  void Stop();

 private:
  void Loop();
  // False when the member could not be reached.
  bool Send(const Replication& replication);

  Database& database;
  Origin member;
  transport::HttpClient client;
  const std::string origin;
  const std::function<bool(const Origin&)> may_send;
  // Position up to which the member is assumed to have the log.
  std::uint64_t member_position = 0;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_ENDPOINT_REPLICATOR_H_
