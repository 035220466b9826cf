#include "programs/laburnumkeel-entry/control_link.h"

#include <algorithm>
#include <utility>

#include "laburnumkeel/kernel/event_log.h"
#include "laburnumkeel/kernel/random_identifier.h"
#include "laburnumkeel/model/configuration_codec.h"
#include "programs/laburnumkeel-entry/events.h"

namespace laburnumkeel::entry {

namespace {

constexpr std::chrono::milliseconds kExchangeInterval{100};
constexpr std::chrono::milliseconds kExchangeTimeout{1000};
constexpr kernel::Duration kBucketFillTime = std::chrono::seconds(1);

}  // namespace

ControlLink::ControlLink(const std::string& address,
                         AccessGate<kernel::BootClock>& gate,
                         limits::AccountLimiter<kernel::BootClock>& limiter,
                         GroupDirectory& groups,
                         ConfigurationHandler on_configuration)
    : incarnation(kernel::RandomIdentifier()),
      gate(gate),
      limiter(limiter),
      groups(groups),
      on_configuration(std::move(on_configuration)),
      client(address, kExchangeTimeout),
      task([this] {
        this->Exchange();
        return kExchangeInterval;
      }) {}

bool ControlLink::Start() {
  this->task.Start();
  return true;
}

void ControlLink::Stop() {
  this->task.Stop();
  // The control program may release the shares only when they are no longer in
  // use.
  this->limiter.Apply({});
  peer::generated::EntryReport report = this->MakeReport();
  report.ended = true;
  // Errors are ignored: without this report the shares stay assigned until they
  // expire.
  (void)this->client.Run([&](peer::generated::LocalControlClient& control) {
    peer::generated::EntryInstructions unused_instructions;
    control.sync(unused_instructions, report);
    return true;
  });
}

void ControlLink::Exchange() {
  const kernel::Instant sent = this->clock.Now();
  const auto instructions =
      this->client.Run([report = this->MakeReport()](
                           peer::generated::LocalControlClient& control) {
        peer::generated::EntryInstructions result;
        control.sync(result, report);
        return result;
      });
  if (!instructions.has_value()) {
    this->LogReachability(false, instructions.error().message);
    return;
  }
  this->LogReachability(true, "");
  this->Apply(instructions.value(), sent);
}

peer::generated::EntryReport ControlLink::MakeReport() {
  peer::generated::EntryReport report;
  report.entry_incarnation = this->incarnation;
  report.known_configuration_version =
      static_cast<std::int64_t>(this->configuration.Current()->version);
  report.applied_offer = this->applied_offer;
  report.control_incarnation = this->control_incarnation;
  for (const limits::AccountDemand& demand : this->limiter.Demand()) {
    peer::generated::AccountDemand item;
    item.account = demand.account;
    item.demand_per_second = demand.demand;
    report.demands.push_back(item);
  }
  return report;
}

void ControlLink::Apply(const peer::generated::EntryInstructions& instructions,
                        kernel::Instant sent) {
  if (!instructions.configuration.document.empty()) {
    this->ApplyConfiguration(instructions.configuration.document);
  }
  FreshnessReport report;
  report.sent = sent;
  if (instructions.configuration.proof_age_ms >= 0) {
    report.proof_age =
        std::chrono::milliseconds(instructions.configuration.proof_age_ms);
  }
  // A freshness proof applies only to the version that it was made for, which
  // may differ from the version that is in effect here.
  const bool is_newest =
      instructions.configuration.version ==
      static_cast<std::int64_t>(this->configuration.Current()->version);
  report.may_serve = is_newest && instructions.may_serve_keyed_requests;
  if (!is_newest) {
    report.proof_age.reset();
  }
  report.isolated_time = std::chrono::milliseconds(instructions.isolated_ms);
  this->gate.SetReport(report);
  this->ApplyShares(instructions, sent);
}

void ControlLink::ApplyShares(
    const peer::generated::EntryInstructions& instructions,
    kernel::Instant sent) {
  std::vector<limits::Share> shares;
  for (const peer::generated::Share& share : instructions.shares) {
    shares.push_back(
        limits::Share{share.account,
                      share.reserve ? limits::ShareKind::kReserve
                                    : limits::ShareKind::kDynamic,
                      limits::ShareAmount{share.rate, share.burst},
                      // Counted from the sending of the request, as the
                      // lifetime started before the response arrived.
                      sent + std::chrono::milliseconds(share.lifetime_ms)});
  }
  this->limiter.Apply(shares);
  const bool has_shares = std::any_of(
      shares.begin(), shares.end(),
      [](const limits::Share& share) { return share.amount.rate > 0; });
  const auto current = this->configuration.Current();
  const bool needs_shares = !current->client_accounts.empty();
  if (!this->shares_since.has_value() && (has_shares || !needs_shares) &&
      current->version > 0) {
    this->shares_since = sent;
  }
  this->buckets_filled =
      this->buckets_filled || (this->shares_since.has_value() &&
                               sent - *this->shares_since >= kBucketFillTime);
  this->applied_offer = instructions.offer;
  this->control_incarnation = instructions.control_incarnation;
}

void ControlLink::ApplyConfiguration(const std::string& document) {
  auto decoded = model::DecodeConfiguration(document);
  if (!decoded.has_value()) {
    kernel::LogEvent(kConfigurationUnreadable,
                     {{"reason", decoded.error().message}});
    return;
  }
  if (!this->configuration.Offer(std::move(decoded.value()))) {
    return;
  }
  const auto current = this->configuration.Current();
  this->gate.SetConfiguration(current);
  this->groups.Apply(*current);
  this->on_configuration(*current);
  kernel::LogEvent(kConfigurationApplied, {{"version", current->version}});
}

void ControlLink::LogReachability(bool is_reachable,
                                  const std::string& reason) {
  if (this->reachable == is_reachable) {
    return;
  }
  this->reachable = is_reachable;
  if (is_reachable) {
    kernel::LogEvent(kControlFound, {});
  } else {
    kernel::LogEvent(kControlLost, {{"reason", reason}});
  }
}

}  // namespace laburnumkeel::entry
