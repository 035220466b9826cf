#ifndef LABURNUMKEEL_TESTS_ROUTING_READ_SIMULATION_H_
#define LABURNUMKEEL_TESTS_ROUTING_READ_SIMULATION_H_

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/promotion/promoter.h"
#include "laburnumkeel/routing/read_router.h"
#include "laburnumkeel/routing/write_confirmation.h"
#include "laburnumkeel/routing/write_router.h"
#include "tests/support/fake_group.h"
#include "tests/support/fake_table.h"
#include "tests/support/group_view_builder.h"
#include "tests/support/manual_clock.h"

namespace laburnumkeel::testing {

// Which candidates a read uses.
enum class ReadRules {
  kTested,
  // Without `kProbableReplica`.
  kMeasuredOnly,
  // The endpoint of the local data centre, without any check.
  kNaive,
};

struct ReadCounts {
  int reads = 0;
  int served = 0;
  // Reads that a replica can serve, and those that a replica did serve.
  int eligible = 0;
  int by_replica = 0;
  // Responses rejected by `CheckReadResponse`.
  int rejected = 0;
  // Reads from a state that does not contain the session's position.
  int older = 0;
  // Reads that miss a write acknowledged before the bound on staleness.
  int stale = 0;
  // Refused reads that a router which knows only the primary would serve.
  int needless_refusals = 0;
  int failovers = 0;

  void Add(const ReadCounts& other) {
    this->reads += other.reads;
    this->served += other.served;
    this->eligible += other.eligible;
    this->by_replica += other.by_replica;
    this->rejected += other.rejected;
    this->older += other.older;
    this->stale += other.stale;
    this->needless_refusals += other.needless_refusals;
    this->failovers += other.failovers;
  }
};

// Simulates 8 VMs that poll a group of three endpoints, and 24 sessions whose
// requests go to random VMs. Replicas lag and the primary fails at random.
class ReadSimulation {
 public:
  static constexpr std::size_t kVms = 8;
  static constexpr kernel::Duration kTick = std::chrono::milliseconds(10);

  ReadSimulation(ReadRules rules, std::chrono::milliseconds polling_period)
      : rules(rules), polling_period(polling_period) {
    this->group.At("a").PromoteUnsealed(1);
    for (std::size_t i = 0; i < kVms; ++i) {
      this->views.emplace_back(GroupOfThree(), ThreeDataCentres(),
                               this->clock.Now());
    }
    this->synchronized.fill(this->clock.Now());
    this->Replicate(0);
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      this->Poll(vm);
    }
  }

  // Advances by one tick of 10 ms with one request. The random `number`
  // determines all events of the tick.
  void Step(unsigned number) {
    this->clock.Advance(kTick);
    ++this->ticks;
    this->InjectFaults(number % 1000);
    this->Replicate(number / 1000);
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      const auto period =
          static_cast<std::size_t>(this->polling_period / kTick);
      if ((this->ticks + vm * period / kVms) % period == 0) {
        this->Poll(vm);
      }
    }
    this->ConfirmWrites();
    this->Request(number / 1000);
  }

  const ReadCounts& Counts() const { return this->counts; }

 private:
  struct Session {
    model::LogPosition position;
    bool is_unsettled = false;
    bool is_waiting = false;
  };

  struct PendingWrite {
    routing::ExecutedWrite write;
    std::size_t vm = 0;
    std::size_t session = 0;
  };

  struct AcknowledgedWrite {
    model::LogPosition position;
    kernel::Instant at;
  };

  // Makes a replica lag, the primary fail, another endpoint be promoted and the
  // failed one return.
  void InjectFaults(unsigned choice) {
    if (choice < 4) {
      this->slow_until = this->clock.Now() + std::chrono::seconds(1);
    }
    if (choice == 999 && this->failed_endpoint.empty()) {
      this->failed_endpoint = this->group.NewestPrimary()->Status().endpoint;
      this->failed_since = this->clock.Now();
      this->is_promoted = false;
      this->group.SetCut(this->failed_endpoint, true);
    }
    if (this->failed_endpoint.empty()) {
      return;
    }
    const kernel::Duration elapsed = this->clock.Now() - this->failed_since;
    if (!this->is_promoted && elapsed > std::chrono::milliseconds(3500)) {
      const model::Term known = this->group.MajoritySealedTerm();
      this->is_promoted =
          promotion::Promoter("vm", std::to_string(known), this->group,
                              this->table)
              .Promote(promotion::PromotionRequest{"g", FakeGroup::Names(),
                                                   known, "", "", false})
              .has_value();
      this->counts.failovers += this->is_promoted ? 1 : 0;
    }
    if (elapsed > std::chrono::seconds(8)) {
      this->group.SetCut(this->failed_endpoint, false);
      this->failed_endpoint.clear();
    }
  }

  // Replicas receive entries in each tick and apply them one tick later.
  void Replicate(unsigned number) {
    FakeEndpoint& primary = *this->group.NewestPrimary();
    const std::string primary_name = primary.Status().endpoint;
    const auto names = FakeGroup::Names();
    for (std::size_t i = 0; i < names.size(); ++i) {
      FakeEndpoint& replica = this->group.At(names[i]);
      const bool is_slow =
          i == number % 3 && this->clock.Now() < this->slow_until;
      if (&replica != &primary && !is_slow) {
        replica.Apply(8);
      }
      if (this->failed_endpoint != names[i] &&
          this->failed_endpoint != primary_name) {
        primary.ReplicateTo(replica, 8);
        if (replica.ReadPosition() == primary.LogEnd()) {
          this->synchronized.at(i) = this->clock.Now();
        }
      }
      replica.SetStaleness(
          std::chrono::duration_cast<std::chrono::milliseconds>(
              this->clock.Now() - this->synchronized.at(i))
              .count());
    }
  }

  void Poll(std::size_t vm) {
    for (const std::string& name : FakeGroup::Names()) {
      const auto status = this->group.Status(name);
      if (status.has_value()) {
        this->views[vm] = this->views[vm].WithStatus(
            {status.value(), this->clock.Now(), this->clock.Now()});
      }
    }
  }

  void ConfirmWrites() {
    std::vector<PendingWrite> still_pending;
    for (const PendingWrite& pending : this->pending) {
      this->Poll(pending.vm);
      const auto state = routing::ConfirmWrite(this->views[pending.vm],
                                               pending.write, this->clock.Now())
                             .state;
      Session& session = this->sessions.at(pending.session);
      if (state == routing::ConfirmationState::kPending) {
        still_pending.push_back(pending);
        continue;
      }
      session.is_waiting = false;
      session.is_unsettled = state == routing::ConfirmationState::kUnknown;
      if (state == routing::ConfirmationState::kConfirmed) {
        session.position = std::max(session.position, pending.write.position);
        this->acknowledged.push_back(
            {pending.write.position, this->clock.Now()});
      }
    }
    this->pending = std::move(still_pending);
  }

  void Request(unsigned number) {
    const std::size_t vm = number % kVms;
    const std::size_t index = number / kVms % this->sessions.size();
    const unsigned kind = number / kVms / 24 % 20;
    if (this->sessions.at(index).is_waiting) {
      return;
    }
    if (kind < 2) {
      this->Write(vm, index);
      return;
    }
    routing::ReadRequirement requirement;
    if (kind < 14) {
      requirement.session_position = this->sessions.at(index).position;
      requirement.confirmed_primary = this->sessions.at(index).is_unsettled;
    } else if (kind < 17) {
      requirement.accepted_staleness = std::chrono::seconds(2);
    }
    this->Read(vm, index, requirement);
  }

  void Write(std::size_t vm, std::size_t index) {
    const auto target = routing::RouteWrite(this->views[vm], this->clock.Now());
    if (!target.has_value() || this->group.IsCut(target.value().endpoint)) {
      return;
    }
    const auto position = this->group.At(target.value().endpoint)
                              .Write(target.value().term, ++this->last_write);
    if (position) {
      this->sessions.at(index).is_waiting = true;
      this->pending.push_back(
          {routing::ExecutedWrite{target.value().endpoint, *position,
                                  this->clock.Now()},
           vm, index});
    }
  }

  // The candidate that served the read; empty if the read was refused.
  std::optional<routing::ReadCandidate> Serve(
      std::size_t vm, const routing::ReadRequirement& requirement,
      const std::vector<routing::ReadCandidate>& candidates, bool is_counted) {
    for (const routing::ReadCandidate& candidate : candidates) {
      if (this->group.IsCut(candidate.endpoint)) {
        continue;
      }
      const kernel::Instant began = this->clock.Now();
      const auto verdict = routing::CheckReadResponse(
          this->views[vm], requirement, candidate.endpoint,
          this->group.At(candidate.endpoint).ReadPosition());
      if (this->rules != ReadRules::kNaive &&
          verdict != routing::ReadVerdict::kSufficient) {
        this->counts.rejected += is_counted ? 1 : 0;
        continue;
      }
      if (candidate.needs_confirmation) {
        this->Poll(vm);
        if (!routing::IsPrimaryConfirmed(
                this->views[vm],
                this->group.At(candidate.endpoint).ReadPosition().term,
                began)) {
          continue;
        }
      }
      return candidate;
    }
    return std::nullopt;
  }

  std::vector<routing::ReadCandidate> Candidates(
      std::size_t vm, const routing::ReadRequirement& requirement) {
    const std::string data_centre = FakeGroup::Names().at(vm % 3);
    if (this->rules == ReadRules::kNaive) {
      return {{data_centre, routing::ReadReason::kLocalReplica, false}};
    }
    const auto routed = routing::ReadRouter(data_centre)
                            .Route(this->views[vm], requirement, this->ticks,
                                   this->clock.Now());
    if (!routed.has_value()) {
      return {};
    }
    auto candidates = routed.value();
    if (this->rules == ReadRules::kMeasuredOnly) {
      std::erase_if(candidates, [](const routing::ReadCandidate& candidate) {
        return candidate.reason == routing::ReadReason::kProbableReplica;
      });
    }
    return candidates;
  }

  void Read(std::size_t vm, std::size_t index,
            const routing::ReadRequirement& requirement) {
    const auto candidates = this->Candidates(vm, requirement);
    const auto served = this->Serve(vm, requirement, candidates, true);
    ++this->counts.reads;
    if (!served) {
      this->counts.needless_refusals +=
          this->ServesPrimaryOnly(vm, requirement) ? 1 : 0;
      // A caller whose session position was lost starts a new session.
      this->sessions.at(index).position = model::LogPosition{};
      return;
    }
    const FakeEndpoint& endpoint = this->group.At(served->endpoint);
    ++this->counts.served;
    if (!requirement.confirmed_primary) {
      ++this->counts.eligible;
      this->counts.by_replica += endpoint.IsActivePrimary() ? 0 : 1;
    }
    if (requirement.session_position) {
      Session& session = this->sessions.at(index);
      this->counts.older += endpoint.Shows(session.position) ? 0 : 1;
      session.position = endpoint.ReadPosition();
      session.is_unsettled = false;
      return;
    }
    this->CheckStaleness(endpoint, *requirement.StalenessBound());
  }

  // Whether a router that knows only the primary would serve the read.
  bool ServesPrimaryOnly(std::size_t vm,
                         const routing::ReadRequirement& requirement) {
    const routing::MemberState* primary = this->views[vm].Primary();
    if (primary == nullptr) {
      return false;
    }
    return this
        ->Serve(vm, requirement,
                {{primary->endpoint, routing::ReadReason::kPrimaryRequired,
                  !requirement.session_position}},
                false)
        .has_value();
  }

  void CheckStaleness(const FakeEndpoint& endpoint,
                      std::chrono::milliseconds bound) {
    const kernel::Instant oldest = this->clock.Now() - bound;
    const bool misses = std::any_of(
        this->acknowledged.begin(), this->acknowledged.end(),
        [&](const AcknowledgedWrite& write) {
          return write.at < oldest && !endpoint.Shows(write.position);
        });
    this->counts.stale += misses ? 1 : 0;
  }

  ReadRules rules;
  std::chrono::milliseconds polling_period;
  ManualClock clock;
  FakeGroup group;
  FakeTable table;
  std::vector<routing::GroupView> views;
  std::array<Session, 24> sessions;
  std::vector<PendingWrite> pending;
  std::vector<AcknowledgedWrite> acknowledged;
  std::array<kernel::Instant, 3> synchronized;
  kernel::Instant slow_until;
  std::string failed_endpoint;
  kernel::Instant failed_since;
  bool is_promoted = false;
  std::uint64_t last_write = 0;
  std::size_t ticks = 0;
  ReadCounts counts;
};

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_ROUTING_READ_SIMULATION_H_
