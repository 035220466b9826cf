#ifndef LABURNUMKEEL_STANDINS_ENDPOINT_MEMBER_CALLS_H_
#define LABURNUMKEEL_STANDINS_ENDPOINT_MEMBER_CALLS_H_

#include "laburnumkeel/transport/http_message.h"
#include "standins/common/latency_table.h"
#include "standins/standin-endpoint/database.h"

namespace laburnumkeel::standins {

// The calls that concern the database as a member of its group: `status`,
// `seal`, `promote`, `drain` and `replicate`. Thread-safe.
class MemberCalls {
 public:
  MemberCalls(Database& database, const LatencyTable& latencies);

  // Status 404 for any other call, 400 for a malformed body.
  transport::HttpResponse Execute(const transport::HttpRequest& request);

 private:
  transport::HttpResponse Post(const transport::HttpRequest& request);
  transport::HttpResponse GetStatus(const transport::HttpRequest& request);

  Database& database;
  const LatencyTable latencies;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_ENDPOINT_MEMBER_CALLS_H_
