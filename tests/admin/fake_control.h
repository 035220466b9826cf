#ifndef LABURNUMKEEL_TESTS_ADMIN_FAKE_CONTROL_H_
#define LABURNUMKEEL_TESTS_ADMIN_FAKE_CONTROL_H_

#include <functional>
#include <string>
#include <vector>

#include "laburnumkeel/configuration/configuration_store.h"
#include "laburnumkeel/model/configuration_codec.h"
#include "programs/laburnumkeel-admin/local_control.h"
#include "tests/support/fake_table.h"

namespace laburnumkeel::testing {

// Control program with an in-memory table.
class FakeControl {
 public:
  kernel::Result<admin::Submission, admin::ControlError> SubmitConfiguration(
      const std::string& document, std::uint64_t base_version,
      const std::string& operation_id) {
    if (this->before_submit) {
      std::exchange(this->before_submit, nullptr)();
    }
    if (this->unreachable) {
      return admin::ControlError{false, "refused"};
    }
    const auto proposal =
        this->store.Propose(model::DecodeConfiguration(document).value(),
                            base_version, operation_id);
    if (this->lost_responses > 0) {
      --this->lost_responses;
      return admin::ControlError{true, "lost"};
    }
    admin::Submission submission{
        ToString(proposal.result), proposal.version, {}};
    for (const auto& fault : proposal.faults) {
      submission.faults.push_back(ToString(fault));
    }
    return submission;
  }

  kernel::Result<admin::ConfigurationDocument, admin::ControlError>
  CurrentConfiguration() {
    const model::Configuration current = this->store.Read().value();
    return admin::ConfigurationDocument{current.version,
                                        model::Encode(current)};
  }

  kernel::Result<std::vector<admin::FleetMember>, admin::ControlError>
  FleetStatus() {
    return std::vector<admin::FleetMember>{
        {"vm1", "dc1", std::chrono::milliseconds(12), 3, true}};
  }

  FakeTable table;
  configuration::ConfigurationStore<FakeTable> store{this->table};
  // Runs once before a submission, as another operator's earlier change.
  std::function<void()> before_submit;
  int lost_responses = 0;
  bool unreachable = false;
};

static_assert(admin::LocalControl<FakeControl>);

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_ADMIN_FAKE_CONTROL_H_
