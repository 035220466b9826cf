#ifndef LABURNUMKEEL_TESTS_SUPPORT_GROUP_VIEW_BUILDER_H_
#define LABURNUMKEEL_TESTS_SUPPORT_GROUP_VIEW_BUILDER_H_

#include <string>
#include <vector>

#include "laburnumkeel/model/configuration.h"
#include "laburnumkeel/model/endpoint_status.h"

namespace laburnumkeel::testing {

// A group with endpoints a, b and c in data centres of the same names.
inline model::DatabaseGroup GroupOfThree() {
  model::DatabaseGroup group{"g", {}};
  for (const std::string name : {"a", "b", "c"}) {
    group.endpoints.push_back(model::Endpoint{name, name + ":1", name, 20, 3,
                                              model::Availability::kIn});
  }
  return group;
}

inline std::vector<model::DataCentre> ThreeDataCentres() {
  return {model::DataCentre{"a", "r1", model::Availability::kIn},
          model::DataCentre{"b", "r2", model::Availability::kIn},
          model::DataCentre{"c", "r3", model::Availability::kIn}};
}

// Status of an up-to-date endpoint: its log has the terms of `starts` and ends
// at `position`, up to which it is applied.
inline model::EndpointStatus StatusOf(const std::string& endpoint,
                                      model::EndpointRole role,
                                      std::vector<model::TermStart> starts,
                                      std::uint64_t position) {
  const model::Term term = starts.empty() ? 0 : starts.back().term;
  return model::EndpointStatus{endpoint,
                               "g",
                               role,
                               term,
                               model::LogPosition{term, position},
                               position,
                               0,
                               std::move(starts)};
}

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SUPPORT_GROUP_VIEW_BUILDER_H_
