#include <glog/logging.h>

#include <memory>

#include "laburnumkeel/kernel/events.h"
#include "laburnumkeel/kernel/kernel.h"
#include "laburnumkeel/kernel/random_identifier.h"
#include "laburnumkeel/kernel/shutdown_signal.h"
#include "programs/laburnumkeel-entry/control_link.h"
#include "programs/laburnumkeel-entry/entry_server.h"

namespace {

using namespace laburnumkeel;  // NOLINT(google-build-using-namespace)

// The components that process requests.
struct RequestPath {
  explicit RequestPath(const entry::EntrySettings& settings,
                       entry::GroupDirectory& groups)
      : tokens(settings.fleet_secret),
        admission(gate, limiter, groups, tokens,
                  std::chrono::milliseconds(settings.request_timeout_ms)),
        retrier(metrics),
        reads(admission, settings.data_centre, metrics),
        writes(admission, retrier),
        transactions(
            endpoints::TransactionSettings{
                settings.vm, kernel::RandomIdentifier(), settings.fleet_secret},
            admission, groups, tokens, writes, retrier) {}

  kernel::BootClock clock;
  kernel::Metrics metrics;
  entry::AccessGate<kernel::BootClock> gate{clock};
  limits::AccountLimiter<kernel::BootClock> limiter{clock};
  sessions::SessionTokenCodec tokens;
  entry::Admission admission;
  entry::Retrier retrier;
  entry::ReadPath reads;
  entry::WritePath writes;
  entry::TransactionPath transactions;
};

}  // namespace

int main(int argument_count, char** arguments) {
  entry::EntrySettings settings;
  if (const auto exit_code =
          entry::ParseSettings(argument_count, arguments, settings)) {
    return *exit_code;
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(arguments[0]);
  const kernel::ShutdownSignal signal;
  kernel::Kernel kernel;
  auto& groups =
      kernel.Register(entry::GroupDirectory::kName,
                      std::make_unique<entry::GroupDirectory>(endpoints::Origin{
                          settings.vm, settings.data_centre}));
  RequestPath path(settings, groups);
  auto& server = kernel.Register(
      entry::EntryServer::kName,
      std::make_unique<entry::EntryServer>(
          settings, path.admission, path.tokens, path.reads, path.writes,
          path.transactions, groups, path.gate, path.metrics, kernel));
  kernel.Register(entry::ControlLink::kName,
                  std::make_unique<entry::ControlLink>(
                      settings.control, path.gate, path.limiter, groups,
                      [&path](const model::Configuration&) {
                        path.transactions.AbortRevoked();
                      }));
  if (!kernel.Start()) {
    return 1;
  }
  kernel::LogEvent(kernel::kProgramStarted,
                   {{"program", "laburnumkeel-entry"}, {"vm", settings.vm}});
  signal.Wait();
  kernel::LogEvent(kernel::kShutdownRequested, {{"vm", settings.vm}});
  server.Drain();
  kernel.Stop();
  kernel::LogEvent(kernel::kProgramStopped, {{"vm", settings.vm}});
  return 0;
}
