#include "programs/laburnumkeel-control/share_service.h"

#include <thread>
#include <utility>

namespace laburnumkeel::control {

namespace {

using std::chrono::milliseconds;

// Interval at which the demand is checked for an early round.
constexpr milliseconds kStepInterval{100};
constexpr milliseconds kReleaseRetryInterval{50};
constexpr int kReleaseAttempts = 20;
constexpr double kPercent = 100;

limits::LedgerSettings SettingsOf(const ControlSettings& settings,
                                  const std::string& incarnation) {
  limits::LedgerSettings result;
  result.vm = settings.vm;
  result.incarnation = incarnation;
  result.lifetimes.reserve = std::chrono::seconds(settings.reserve_lifetime_s);
  result.reserve_fraction =
      static_cast<double>(settings.reserve_percent) / kPercent;
  return result;
}

}  // namespace

ShareService::ShareService(const ControlSettings& settings, FleetState& state,
                           ShareExchange& share_exchange,
                           platform::SharedTable table)
    : state(state),
      share_exchange(share_exchange),
      table(std::move(table)),
      round(SettingsOf(settings, state.Incarnation()), this->clock, this->table,
            this->share_exchange),
      next_round(this->clock.Now()),
      last_round(this->clock.Now()),
      task([this] { return this->Step(); }) {}

bool ShareService::Start() {
  this->task.Start();
  return true;
}

void ShareService::Stop() {
  this->task.Stop();
  for (int attempt = 0; attempt < kReleaseAttempts; ++attempt) {
    const limits::RoundOutcome outcome = this->round.Release();
    if (outcome == limits::RoundOutcome::kCommitted ||
        outcome == limits::RoundOutcome::kStoreUnavailable) {
      return;
    }
    std::this_thread::sleep_for(kReleaseRetryInterval *
                                (0.5 + this->RandomFraction()));
  }
}

kernel::Duration ShareService::Step() {
  const auto configuration = this->state.Configuration();
  if (configuration->version == 0) {
    return kStepInterval;
  }
  const std::vector<limits::AccountDemand> demand =
      this->share_exchange.Demand();
  const kernel::Instant now = this->clock.Now();
  const bool is_early = this->round.NeedsEarlyRound(demand) &&
                        now - this->last_round >= limits::kShortestRound;
  if (now < this->next_round && !is_early) {
    return kStepInterval;
  }
  this->last_round = now;
  const limits::RoundReport report =
      this->round.Run(limits::LimitsOf(*configuration), demand);
  this->next_round =
      now + limits::NextRoundDelay(report, this->RandomFraction());
  return kStepInterval;
}

double ShareService::RandomFraction() {
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

}  // namespace laburnumkeel::control
