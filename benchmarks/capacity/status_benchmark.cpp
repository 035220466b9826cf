#include "benchmarks/capacity/status_benchmark.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "benchmarks/capacity/series.h"
#include "benchmarks/capacity/thread_time.h"
#include "laburnumkeel/model/endpoint_status.h"
#include "laburnumkeel/routing/group_view.h"
#include "laburnumkeel/routing/read_router.h"
#include "laburnumkeel/routing/write_confirmation.h"
#include "laburnumkeel/routing/write_router.h"
#include "tests/support/manual_clock.h"

namespace laburnumkeel::benchmarks {

namespace {

constexpr int kBatches = 9;
constexpr int kCalls = 1000;
constexpr std::uint64_t kPosition = 1000000;

std::string MemberName(int member) { return "g1-dc" + std::to_string(member); }

model::EndpointStatus MakeStatus(int member, int terms) {
  model::EndpointStatus status;
  status.endpoint = MemberName(member);
  status.group = "g1";
  status.role = member == 0 ? model::EndpointRole::kPrimary
                            : model::EndpointRole::kReplica;
  status.sealed_term = static_cast<model::Term>(terms);
  status.log_end = {static_cast<model::Term>(terms), kPosition};
  status.applied_position = kPosition;
  status.staleness_ms = 20;
  for (int term = 1; term <= terms; ++term) {
    status.term_starts.push_back(
        model::TermStart{static_cast<model::Term>(term),
                         static_cast<std::uint64_t>(term) * 1000});
  }
  return status;
}

routing::GroupView MakeView(int members, int terms, kernel::Instant now) {
  model::DatabaseGroup group{"g1", {}};
  std::vector<model::DataCentre> centres;
  for (int member = 0; member < members; ++member) {
    const std::string centre = "dc" + std::to_string(member);
    centres.push_back(
        model::DataCentre{centre, "region", model::Availability::kIn});
    group.endpoints.push_back(model::Endpoint{MemberName(member),
                                              "10.1.1.1:9000", centre, 20, 3,
                                              model::Availability::kIn});
  }
  routing::GroupView view(group, centres, now);
  for (int member = 0; member < members; ++member) {
    view = view.WithPoolWarm(MemberName(member), true, now)
               .WithStatus({MakeStatus(member, terms), now, now});
  }
  return view;
}

void MeasureStatuses(kernel::Instant now) {
  Series series("status of one endpoint in a group of 3", "terms in its log");
  for (const int terms : {1, 4, 16, 64}) {
    const routing::GroupView view = MakeView(3, terms, now);
    const std::string text = ToJson(MakeStatus(1, terms)).dump();
    series.Add("status, bytes", terms, static_cast<double>(text.size()));
    series.Add(
        "parse, us", terms, MedianMicroseconds(kBatches, kCalls, [&] {
          Keep(model::EndpointStatusFromJson(nlohmann::json::parse(text)));
        }));
    const routing::MeasuredStatus next{MakeStatus(1, terms),
                                       now + kernel::Duration(1),
                                       now + kernel::Duration(2)};
    series.Add("WithStatus, us", terms,
               MedianMicroseconds(kBatches, kCalls,
                                  [&] { Keep(view.WithStatus(next)); }));
  }
  series.Print();
}

void MeasureDecisions(kernel::Instant now) {
  Series series("decisions for one statement", "members of the group");
  const routing::ReadRouter router("dc1");
  for (const int members : {3, 5, 7}) {
    constexpr int kTerms = 4;
    const routing::GroupView view = MakeView(members, kTerms, now);
    routing::ReadRequirement requirement;
    requirement.session_position = model::LogPosition{kTerms, kPosition};
    std::uint64_t rotation = 0;
    series.Add("route a read, us", members,
               MedianMicroseconds(kBatches, kCalls, [&] {
                 Keep(router.Route(view, requirement, rotation++, now));
               }));
    series.Add("route a write, us", members,
               MedianMicroseconds(kBatches, kCalls, [&] {
                 Keep(routing::RouteWrite(view, now));
               }));
    const routing::ExecutedWrite write{MemberName(0), {kTerms, kPosition}, now};
    series.Add("confirm a write, us", members,
               MedianMicroseconds(kBatches, kCalls, [&] {
                 Keep(routing::ConfirmWrite(view, write, now));
               }));
  }
  series.Print();
}

}  // namespace

void MeasureStatus() {
  const kernel::Instant now = testing::ManualClock().Now();
  MeasureStatuses(now);
  MeasureDecisions(now);
}

}  // namespace laburnumkeel::benchmarks
