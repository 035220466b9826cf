#include "programs/laburnumkeel-entry/entry_server.h"

#include <thread>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "programs/laburnumkeel-entry/caller_response.h"
#include "programs/laburnumkeel-entry/control_link.h"
#include "programs/laburnumkeel-entry/events.h"

namespace laburnumkeel::entry {

namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;
// Transactions end after at most 10 s, requests after their timeout.
constexpr milliseconds kTransactionTimeLimit{10000};

transport::ServerLimits LimitsOf(const EntrySettings& settings) {
  transport::ServerLimits limits;
  limits.maximum_connections =
      static_cast<unsigned int>(settings.maximum_connections);
  limits.memory_budget_bytes =
      static_cast<std::size_t>(settings.memory_budget_mb) * 1024 * 1024;
  limits.receive_timeout = milliseconds(settings.receive_timeout_ms);
  limits.send_timeout = milliseconds(settings.send_timeout_ms);
  limits.reserved_descriptors =
      static_cast<std::size_t>(settings.reserved_descriptors);
  return limits;
}

transport::HttpResponse TextResponse(int status, const std::string& body) {
  return transport::HttpResponse{
      status, {{"Content-Type", "text/plain"}}, body};
}

CallerError DrainingError() {
  return CallerError{kServiceUnavailable, "leaving",
                     "this VM is leaving; use another one",
                     model::Outcome::kNotRun};
}

}  // namespace

EntryServer::EntryServer(const EntrySettings& settings,
                         const Admission& admission,
                         const sessions::SessionTokenCodec& tokens,
                         ReadPath& reads, WritePath& writes,
                         TransactionPath& transactions,
                         const GroupDirectory& groups,
                         const AccessGate<kernel::BootClock>& gate,
                         kernel::Metrics& metrics, const kernel::Kernel& kernel)
    : settings(settings),
      admission(admission),
      tokens(tokens),
      reads(reads),
      writes(writes),
      transactions(transactions),
      groups(groups),
      gate(gate),
      metrics(metrics),
      kernel(kernel),
      server(settings.listen, LimitsOf(settings)) {
  this->server.SetMetrics(metrics);
  this->AddRoutes();
}

bool EntryServer::Start() { return this->server.Start(); }

void EntryServer::Stop() { this->server.Stop(); }

void EntryServer::Drain() {
  kernel::LogEvent(kDraining, {{"grace_ms", this->settings.shutdown_grace_ms}});
  this->draining = true;
  std::this_thread::sleep_for(milliseconds(this->settings.shutdown_grace_ms));
  this->transactions.RefuseNew();
  this->transactions.AwaitAllEnded(kTransactionTimeLimit);
  this->requests.Close();
  const bool idle = this->requests.AwaitIdle(
      milliseconds(this->settings.request_timeout_ms) + kTransactionTimeLimit);
  kernel::LogEvent(kDrained, {{"idle", idle}});
}

bool EntryServer::IsReady() const {
  // `ControlLink` is registered after this server, so it is looked up by name.
  const auto* link = this->kernel.Find<ControlLink>(ControlLink::kName);
  return !this->draining && link != nullptr && link->HasFilledBuckets() &&
         this->gate.HasConfiguration() && this->groups.IsReady();
}

void EntryServer::AddRoutes() {
  this->server.AddRoute("GET", "/healthz", [](const transport::HttpRequest&) {
    return TextResponse(kOk, "ok\n");
  });
  this->server.AddRoute(
      "GET", "/readyz", [this](const transport::HttpRequest&) {
        return this->IsReady()
                   ? TextResponse(kOk, "ready\n")
                   : TextResponse(kServiceUnavailable, "not ready\n");
      });
  this->server.AddRoute("GET", "/metrics",
                        [this](const transport::HttpRequest&) {
                          return TextResponse(kOk, this->metrics.Text());
                        });
  this->server.AddRoute("GET", "/v1/version",
                        [](const transport::HttpRequest&) {
                          return TextResponse(kOk, LABURNUMKEEL_VERSION "\n");
                        });
  this->AddCallerRoute("/v1/services/:service/read",
                       [this](const transport::HttpRequest& request) {
                         return this->HandleStatement(
                             request,
                             [this](const AdmittedRequest& admitted) {
                               return this->reads.Execute(admitted);
                             },
                             "read");
                       });
  this->AddCallerRoute("/v1/services/:service/write",
                       [this](const transport::HttpRequest& request) {
                         return this->HandleStatement(
                             request,
                             [this](const AdmittedRequest& admitted) {
                               return this->writes.Execute(admitted);
                             },
                             "write");
                       });
  this->AddCallerRoute("/v1/services/:service/transactions",
                       [this](const transport::HttpRequest& request) {
                         return this->transactions.Begin(request);
                       });
  this->AddCallerRoute("/v1/transactions/:id/statements",
                       [this](const transport::HttpRequest& request) {
                         return this->transactions.Execute(request);
                       });
  this->AddCallerRoute("/v1/transactions/:id/commit",
                       [this](const transport::HttpRequest& request) {
                         return this->transactions.Commit(request);
                       });
  this->AddCallerRoute("/v1/transactions/:id/abort",
                       [this](const transport::HttpRequest& request) {
                         return this->transactions.Abort(request);
                       });
  this->server.SetDefault([](const transport::HttpRequest&) {
    return ToHttpResponse(
        CallerError{404, "unknown_route", "there is no such route and method",
                    model::Outcome::kNotRun},
        "", "");
  });
}

void EntryServer::AddCallerRoute(const std::string& route, Handler handler) {
  this->server.AddRoute("POST", route,
                        [this, handler = std::move(handler)](
                            const transport::HttpRequest& request) {
                          const RequestGate::Holder holder =
                              this->requests.Enter();
                          if (!holder.IsAccepted()) {
                            return ToHttpResponse(DrainingError(), "", "");
                          }
                          return handler(request);
                        });
}

transport::HttpResponse EntryServer::HandleStatement(
    const transport::HttpRequest& request,
    const std::function<StatementOutcome(const AdmittedRequest&)>& execute,
    const std::string& kind) {
  const kernel::Instant started = this->clock.Now();
  std::string request_id;
  const auto admitted = this->admission.Admit(request, request_id);
  if (!admitted.has_value()) {
    this->metrics.Count(kind + "_refused_total");
    return ToHttpResponse(admitted.error(), request_id, "");
  }
  const StatementOutcome outcome = execute(admitted.value());
  this->metrics.Observe(kind + "_ms", std::chrono::duration<double, std::milli>(
                                          this->clock.Now() - started)
                                          .count());
  if (outcome.result.has_value()) {
    this->metrics.Count(kind + "_by_" + outcome.result.value().role + "_total");
  } else {
    this->metrics.Count(
        kind + "_" +
        std::string(model::ToString(outcome.result.error().outcome)) +
        "_total");
    kernel::LogEvent(
        kRequestFailed,
        {{"request", request_id},
         {"account", admitted.value().account},
         {"group", admitted.value().request.group},
         {"code", outcome.result.error().code},
         {"outcome", model::ToString(outcome.result.error().outcome)}});
  }
  return this->MakeResponse(outcome, request_id, "");
}

transport::HttpResponse EntryServer::MakeResponse(
    const StatementOutcome& outcome, const std::string& request_id,
    const std::string& transaction) const {
  const auto token = this->tokens.Encode(outcome.session);
  if (!token.has_value()) {
    // Without a token for the new position, a later read of the session could
    // return a state older than its own write.
    return ToHttpResponse(
        CallerError{500, "session_too_large",
                    "the session spans too many groups for a token",
                    outcome.result.has_value()
                        ? model::Outcome::kDone
                        : outcome.result.error().outcome},
        request_id, "");
  }
  if (!outcome.result.has_value()) {
    return ToHttpResponse(outcome.result.error(), request_id, token.value());
  }
  const ServedStatement& served = outcome.result.value();
  return ToHttpResponse(CallerResult{
      request_id, served.result.result, served.endpoint, served.role,
      served.result.position, token.value(), transaction});
}

}  // namespace laburnumkeel::entry
