#ifndef LABURNUMKEEL_TESTS_PROMOTION_PROMOTION_SIMULATION_H_
#define LABURNUMKEEL_TESTS_PROMOTION_PROMOTION_SIMULATION_H_

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "laburnumkeel/promotion/promoter.h"
#include "laburnumkeel/routing/write_confirmation.h"
#include "laburnumkeel/routing/write_router.h"
#include "tests/promotion/stepwise_members.h"
#include "tests/support/fake_table.h"
#include "tests/support/group_view_builder.h"
#include "tests/support/manual_clock.h"

namespace laburnumkeel::testing {

// The tested rules and naive ones that lose writes, as the test expects.
enum class WriteRules {
  kTested,
  // Acknowledge on the primary's response alone.
  kAcknowledgeOnResponse,
  // Seal, then promote the highest position regardless of its term.
  kHighestPosition,
  // Promote the greatest log end without a seal.
  kUnsealed,
};

// Counts over all sequences run under one set of rules.
struct SimulationCounts {
  int acknowledged = 0;
  int promotions = 0;
  // Acknowledged writes missing from the log of the newest primary.
  int missing = 0;
  // Acknowledged writes that were executed after a majority sealed a higher
  // term.
  int late = 0;
  // Table writes of a lower term, or promotions missing from the table.
  int publication_faults = 0;
};

// Two proxies, two promoters and a group, driven by a sequence of numbers:
// the last three digits choose the kind of step, the others its parameters.
class PromotionSimulation {
 public:
  explicit PromotionSimulation(WriteRules rules) : rules(rules) {
    this->group.At("a").PromoteUnsealed(1);
    for (const std::string& name : FakeGroup::Names()) {
      this->group.At("a").ReplicateTo(this->group.At(name), 1);
    }
    for (Proxy& proxy : this->proxies) {
      proxy.connection = this->group;
      for (const std::string& name : FakeGroup::Names()) {
        proxy.view =
            proxy.view.WithStatus({this->group.At(name).Status(),
                                   this->clock.Now(), this->clock.Now()});
      }
    }
  }

  void Step(unsigned number) {
    const unsigned choice = number % 1000;
    const unsigned a = number / 1000 % 2;
    const unsigned b = number / 2000;
    if (choice < 30) {
      // Bursts make the logs of a former and a new primary differ in length.
      for (unsigned write = 0; write <= b % 16; ++write) {
        this->Route(this->proxies.at(a));
      }
    } else if (choice < 60) {
      for (unsigned write = 0; write <= b / 16 % 16; ++write) {
        this->Execute(this->proxies.at(a), b % 16 == 0);
      }
    } else if (choice < 330) {
      this->Replicate(b);
    } else if (choice < 550) {
      this->Poll(this->proxies.at(a), b);
    } else if (choice < 720) {
      this->Deliver(this->proxies.at(a), b);
    } else if (choice < 790) {
      this->Confirm(this->proxies.at(a));
    } else if (choice < 830) {
      this->Respond(this->proxies.at(a));
    } else if (choice < 836) {
      this->StartPromoter(a, b);
    } else if (choice < 970) {
      for (unsigned call = 0; call <= b / 8 % 4; ++call) {
        this->StepPromoter(a, b % 8 == 0);
      }
    } else if (choice < 976) {
      this->TogglePartition(b);
    } else if (choice < 980) {
      this->ToggleProxyPartition(this->proxies.at(a), b);
    } else if (choice < 996) {
      this->clock.Advance(std::chrono::milliseconds(b % 400));
    } else {
      this->SetStoreFault(b);
    }
    this->Check();
  }

  // Removes the store fault, publishes the remaining promotions and returns the
  // counts.
  SimulationCounts Finish() {
    this->table.SetFault(TableFault::kNone);
    this->PublishPending();
    const model::Term stored = this->StoredTerm();
    if (stored < this->highest_promoted) {
      ++this->counts.publication_faults;
    }
    return this->counts;
  }

 private:
  enum class PartitionKind {
    kReplication,
    // Proxies and promoters cannot reach the endpoint either.
    kEndpoint,
    // As kEndpoint, but the first proxy reaches only the endpoint.
    kDataCentre,
  };

  struct Pending {
    routing::ExecutedWrite write;
    std::uint64_t id = 0;
    bool is_late = false;
  };

  struct Routed {
    routing::WriteTarget target;
    kernel::Instant started;
  };

  struct Proxy {
    routing::GroupView view;
    FakeGroup connection;
    std::vector<Routed> routed;
    std::vector<Pending> pending;
    // Confirmed, but not yet acknowledged to the client, because the process
    // may be paused.
    std::vector<Pending> confirmed;
    std::vector<routing::MeasuredStatus> in_flight;
  };

  struct RunningPromoter {
    std::shared_ptr<StepwiseMembers> members;
    promotion::PromotionRequest request;
    std::string incarnation;
  };

  static const std::string& NameOf(unsigned number) {
    static const std::vector<std::string> names = FakeGroup::Names();
    return names.at(number % names.size());
  }

  void Route(Proxy& proxy) {
    const auto target = routing::RouteWrite(proxy.view, this->clock.Now());
    if (target.has_value()) {
      proxy.routed.push_back(Routed{target.value(), this->clock.Now()});
    }
  }

  void Execute(Proxy& proxy, bool lose_response) {
    if (proxy.routed.empty()) {
      return;
    }
    const Routed routed = proxy.routed.front();
    proxy.routed.erase(proxy.routed.begin());
    const std::string& name = routed.target.endpoint;
    if (proxy.connection.IsCut(name)) {
      return;
    }
    const auto position =
        this->group.At(name).Write(routed.target.term, ++this->last_write);
    if (!position || lose_response) {
      return;
    }
    const Pending pending{
        routing::ExecutedWrite{name, *position, routed.started},
        this->last_write,
        this->group.MajoritySealedTerm() > routed.target.term};
    if (this->rules == WriteRules::kAcknowledgeOnResponse) {
      this->Acknowledge(pending);
    } else {
      proxy.pending.push_back(pending);
    }
  }

  void Replicate(unsigned number) {
    const std::string& source = NameOf(number);
    const std::string& target = NameOf(number / 3);
    if (this->isolated_endpoint != source &&
        this->isolated_endpoint != target) {
      this->group.At(source).ReplicateTo(this->group.At(target),
                                         1 + number / 9 % 8);
    }
  }

  void Poll(Proxy& proxy, unsigned number) {
    const auto status = proxy.connection.Status(NameOf(number));
    if (status.has_value()) {
      const kernel::Instant sent = this->clock.Now();
      this->clock.Advance(std::chrono::milliseconds(1));
      proxy.in_flight.push_back({status.value(), sent, sent});
    }
  }

  // Responses arrive in any order.
  void Deliver(Proxy& proxy, unsigned number) {
    if (proxy.in_flight.empty()) {
      return;
    }
    const auto chosen =
        proxy.in_flight.begin() +
        static_cast<std::ptrdiff_t>(number % proxy.in_flight.size());
    proxy.view = proxy.view.WithStatus(
        {chosen->status, chosen->sent, this->clock.Now()});
    proxy.in_flight.erase(chosen);
  }

  void Confirm(Proxy& proxy) {
    std::vector<Pending> still_pending;
    for (const Pending& pending : proxy.pending) {
      const auto state =
          routing::ConfirmWrite(proxy.view, pending.write, this->clock.Now())
              .state;
      if (state == routing::ConfirmationState::kConfirmed) {
        proxy.confirmed.push_back(pending);
      } else if (state == routing::ConfirmationState::kPending) {
        still_pending.push_back(pending);
      }
    }
    proxy.pending = std::move(still_pending);
  }

  void Respond(Proxy& proxy) {
    for (const Pending& pending : proxy.confirmed) {
      this->Acknowledge(pending);
    }
    proxy.confirmed.clear();
  }

  void Acknowledge(const Pending& pending) {
    ++this->counts.acknowledged;
    this->counts.late += pending.is_late ? 1 : 0;
    this->acknowledged.emplace(pending.id, pending.write.position.term);
  }

  void StartPromoter(unsigned slot, unsigned number) {
    auto members = std::make_shared<StepwiseMembers>(this->group);
    if (!this->isolated_endpoint.empty() &&
        this->partition_kind != PartitionKind::kReplication) {
      members->Connection().SetCut(this->isolated_endpoint, true);
    }
    model::Term known = 0;
    for (const std::string& name : FakeGroup::Names()) {
      const auto status = members->Connection().Status(name);
      known = status.has_value() ? std::max(known, status.value().sealed_term)
                                 : known;
    }
    std::vector<std::string> order = FakeGroup::Names();
    std::rotate(order.begin(), order.begin() + number % 3, order.end());
    this->promoters.at(slot) = RunningPromoter{
        std::move(members),
        promotion::PromotionRequest{"g", std::move(order), known, "", "",
                                    number / 3 % 2 == 0},
        std::to_string(++this->incarnations)};
  }

  void StepPromoter(unsigned slot, bool lose_response) {
    auto& running = this->promoters.at(slot);
    if (!running) {
      return;
    }
    running->members->Rewind();
    running->members->Connection().LoseResponses(lose_response ? 1 : 0);
    try {
      const auto result = this->RunPromoter(*running);
      if (result.has_value()) {
        ++this->counts.promotions;
        this->highest_promoted =
            std::max(this->highest_promoted, result.value().term);
        this->unpublished.push_back(result.value());
        this->PublishPending();
      }
      running.reset();
    } catch (const PromoterPaused&) {
      // The promoter continues with its next step.
    }
  }

  kernel::Result<promotion::PromotionResult, promotion::PromotionError>
  RunPromoter(const RunningPromoter& running) {
    if (this->rules == WriteRules::kTested ||
        this->rules == WriteRules::kAcknowledgeOnResponse) {
      return promotion::Promoter("vm", running.incarnation,
                                 StepwiseMembersHandle(running.members),
                                 this->table)
          .Promote(running.request);
    }
    return this->RunNaivePromoter(running);
  }

  kernel::Result<promotion::PromotionResult, promotion::PromotionError>
  RunNaivePromoter(const RunningPromoter& running) const {
    StepwiseMembers& members = *running.members;
    const bool seals = this->rules == WriteRules::kHighestPosition;
    const model::Term term = running.request.known_term + 1;
    std::vector<model::EndpointStatus> statuses;
    for (const std::string& name : running.request.members) {
      if (seals) {
        const auto reply = members.Seal(name, term, running.incarnation);
        if (reply.has_value() && reply.value().accepted) {
          statuses.push_back(reply.value().status);
        }
      } else if (const auto status = members.Status(name); status.has_value()) {
        statuses.push_back(status.value());
      }
    }
    if (statuses.size() < 2) {
      return promotion::PromotionError{};
    }
    const std::string chosen =
        std::max_element(statuses.begin(), statuses.end(),
                         [&](const auto& left, const auto& right) {
                           return seals ? left.log_end.position <
                                              right.log_end.position
                                        : left.log_end < right.log_end;
                         })
            ->endpoint;
    const auto reply = seals
                           ? members.Promote(chosen, term, running.incarnation)
                           : members.PromoteWithoutSeal(chosen, term);
    if (!reply.has_value() || !reply.value().accepted) {
      return promotion::PromotionError{};
    }
    return promotion::PromotionResult{"g", term, chosen, running.incarnation};
  }

  void PublishPending() {
    const model::Term before = this->StoredTerm();
    promotion::PrimaryPublisher publisher(this->table);
    std::erase_if(this->unpublished,
                  [&](const promotion::PromotionResult& primary) {
                    return publisher.Publish(primary).has_value();
                  });
    if (this->StoredTerm() < before) {
      ++this->counts.publication_faults;
    }
  }

  model::Term StoredTerm() const {
    FakeTable healthy = this->table;
    healthy.SetFault(TableFault::kNone);
    const auto stored = promotion::DecodePrimary(
        "g", healthy.Read(promotion::PrimaryRowKey("g")).value().value);
    return stored ? stored->term : 0;
  }

  // Begins or ends a network partition. Every kind stops replication between
  // one endpoint and the others.
  void TogglePartition(unsigned number) {
    const bool begins = this->isolated_endpoint.empty();
    if (begins) {
      // Half of the partitions isolate the newest primary.
      this->isolated_endpoint =
          number / 9 % 2 == 0 ? NameOf(number)
                              : this->group.NewestPrimary()->Status().endpoint;
      this->partition_kind = static_cast<PartitionKind>(number / 3 % 3);
    }
    if (this->partition_kind != PartitionKind::kReplication) {
      for (auto& running : this->promoters) {
        if (running) {
          running->members->Connection().SetCut(this->isolated_endpoint,
                                                begins);
        }
      }
      this->proxies[1].connection.SetCut(this->isolated_endpoint, begins);
    }
    for (const std::string& name : FakeGroup::Names()) {
      const bool is_affected =
          this->partition_kind == PartitionKind::kEndpoint
              ? name == this->isolated_endpoint
          : this->partition_kind == PartitionKind::kDataCentre
              ? name != this->isolated_endpoint
              : false;
      if (is_affected) {
        this->proxies[0].connection.SetCut(name, begins);
      }
    }
    if (!begins) {
      this->isolated_endpoint.clear();
    }
    if (number / 18 % 2 == 0) {
      this->StartPromoter(1, number / 36);
    }
  }

  static void ToggleProxyPartition(Proxy& proxy, unsigned number) {
    const std::string& name = NameOf(number);
    proxy.connection.SetCut(name, !proxy.connection.IsCut(name));
  }

  void SetStoreFault(unsigned number) {
    static constexpr std::array kFaults{TableFault::kNone, TableFault::kDown,
                                        TableFault::kLoseResponse};
    this->table.SetFault(kFaults.at(number % kFaults.size()));
    this->PublishPending();
  }

  // Counts each missing write once.
  void Check() {
    const FakeEndpoint* newest = this->group.NewestPrimary();
    std::erase_if(this->acknowledged, [&](const auto& entry) {
      const bool is_missing =
          entry.second <= newest->LogEnd().term && !newest->Holds(entry.first);
      this->counts.missing += is_missing ? 1 : 0;
      return is_missing;
    });
  }

  WriteRules rules;
  ManualClock clock;
  FakeGroup group;
  FakeTable table;
  std::array<Proxy, 2> proxies{
      Proxy{routing::GroupView(GroupOfThree(), ThreeDataCentres(),
                               this->clock.Now()),
            {},
            {},
            {},
            {},
            {}},
      Proxy{routing::GroupView(GroupOfThree(), ThreeDataCentres(),
                               this->clock.Now()),
            {},
            {},
            {},
            {},
            {}}};
  std::array<std::optional<RunningPromoter>, 2> promoters;
  std::vector<promotion::PromotionResult> unpublished;
  std::string isolated_endpoint;
  PartitionKind partition_kind = PartitionKind::kReplication;
  std::uint64_t last_write = 0;
  int incarnations = 0;
  model::Term highest_promoted = 0;
  // Term by write.
  std::map<std::uint64_t, model::Term> acknowledged;
  SimulationCounts counts;
};

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_PROMOTION_PROMOTION_SIMULATION_H_
