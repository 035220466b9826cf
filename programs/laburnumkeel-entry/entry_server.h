#ifndef LABURNUMKEEL_PROGRAMS_ENTRY_ENTRY_SERVER_H_
#define LABURNUMKEEL_PROGRAMS_ENTRY_ENTRY_SERVER_H_

#include <atomic>
#include <functional>
#include <string>

#include "laburnumkeel/kernel/kernel.h"
#include "laburnumkeel/kernel/metrics.h"
#include "laburnumkeel/kernel/service.h"
#include "laburnumkeel/transport/http_server.h"
#include "programs/laburnumkeel-entry/entry_settings.h"
#include "programs/laburnumkeel-entry/read_path.h"
#include "programs/laburnumkeel-entry/request_gate.h"
#include "programs/laburnumkeel-entry/transaction_path.h"
#include "programs/laburnumkeel-entry/write_path.h"

namespace laburnumkeel::entry {

// The HTTP interface for callers.
//
// Starts before `ControlLink`: a successful bind to the address shows that an
// earlier entry process of this VM has ended and no longer uses its shares.
class EntryServer : public kernel::Service {
 public:
  static constexpr char kName[] = "http";

  EntryServer(const EntrySettings& settings, const Admission& admission,
              const sessions::SessionTokenCodec& tokens, ReadPath& reads,
              WritePath& writes, TransactionPath& transactions,
              const GroupDirectory& groups,
              const AccessGate<kernel::BootClock>& gate,
              kernel::Metrics& metrics, const kernel::Kernel& kernel);

  bool Start() override;
  void Stop() override;

  // Fails readiness and serves for the grace period. Then refuses new
  // transactions, waits until the open ones have ended, refuses new requests
  // and waits until those in flight have ended. Both waits have a time limit.
  void Drain();

 private:
  using Handler =
      std::function<transport::HttpResponse(const transport::HttpRequest&)>;

  void AddRoutes();
  void AddCallerRoute(const std::string& route, Handler handler);
  transport::HttpResponse HandleStatement(
      const transport::HttpRequest& request,
      const std::function<StatementOutcome(const AdmittedRequest&)>& execute,
      const std::string& kind);
  transport::HttpResponse MakeResponse(const StatementOutcome& outcome,
                                       const std::string& request_id,
                                       const std::string& transaction) const;
  bool IsReady() const;

  const EntrySettings settings;
  const Admission& admission;
  const sessions::SessionTokenCodec& tokens;
  ReadPath& reads;
  WritePath& writes;
  TransactionPath& transactions;
  const GroupDirectory& groups;
  const AccessGate<kernel::BootClock>& gate;
  kernel::Metrics& metrics;
  const kernel::Kernel& kernel;
  const kernel::BootClock clock{};
  RequestGate requests;
  std::atomic<bool> draining = false;
  transport::HttpServer server;
};

}  // namespace laburnumkeel::entry

#endif  // LABURNUMKEEL_PROGRAMS_ENTRY_ENTRY_SERVER_H_
