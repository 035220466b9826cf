#ifndef LABURNUMKEEL_STANDINS_ENDPOINT_STANDIN_ENDPOINT_H_
#define LABURNUMKEEL_STANDINS_ENDPOINT_STANDIN_ENDPOINT_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/kernel/service.h"
#include "laburnumkeel/transport/http_server.h"
#include "standins/common/origin.h"
#include "standins/common/standin_server.h"
#include "standins/standin-endpoint/endpoint_settings.h"
#include "standins/standin-endpoint/execution_counter.h"
#include "standins/standin-endpoint/member_calls.h"
#include "standins/standin-endpoint/replicator.h"
#include "standins/standin-endpoint/slot_pool.h"

namespace laburnumkeel::standins {

// One database endpoint with its faults port. Needs settings whose lists are
// well formed. The log is kept in memory only: a restarted endpoint is an empty
// replica, to which the primary sends the log again.
class StandinEndpoint final : public kernel::Service {
 public:
  explicit StandinEndpoint(const EndpointSettings& settings);
  ~StandinEndpoint() override;

  bool Start() override;
  void Stop() override;

 private:
  ConnectionHandler MakeHandler();
  void AddFaultPortRoutes();
  bool MaySendTo(const Origin& member) const;
  // True when the log of another member is not empty.
  bool GroupHasLog() const;

  const EndpointSettings settings;
  const LatencyTable latencies;
  // Name and address of the other members.
  const std::vector<std::pair<std::string, std::string>> members;
  Database database;
  SlotPool slots;
  ExecutionCounter executions;
  MemberCalls member_calls;
  StandinServer server;
  transport::HttpServer faults_server;
  std::vector<std::unique_ptr<Replicator>> replicators;
};

}  // namespace laburnumkeel::standins

#endif  // LABURNUMKEEL_STANDINS_ENDPOINT_STANDIN_ENDPOINT_H_
