#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <map>

#include "laburnumkeel/configuration/configuration_store.h"
#include "tests/configuration/flaky_table.h"
#include "tests/support/sample_configuration.h"

namespace laburnumkeel::configuration {
namespace {

using testing::CommitFault;
using testing::FlakyTable;

// One proposal of an operator: a new change, or a repetition of the last one.
struct Step {
  int operator_number = 0;
  bool is_repeat = false;
  // Number of versions by which the operator's copy is behind.
  int behind = 0;
  std::vector<CommitFault> faults;
};

rc::Gen<Step> AnyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::operator_number, rc::gen::inRange(0, 3)),
      rc::gen::set(&Step::is_repeat),
      rc::gen::set(&Step::behind,
                   rc::gen::weightedElement<int>({{6, 0}, {1, 1}, {1, 2}})),
      rc::gen::set(
          &Step::faults,
          rc::gen::container<std::vector<CommitFault>>(rc::gen::element(
              CommitFault::kNone, CommitFault::kDown, CommitFault::kRequestLost,
              CommitFault::kResponseLost, CommitFault::kRequestDelayed,
              CommitFault::kConcurrentChange))));
}

// A change with the result reported to its operator.
struct Change {
  std::uint64_t base = 0;
  std::string operation_id;
  ProposalResult reported_result = ProposalResult::kUnknown;
  std::uint64_t version = 0;
  bool was_unknown = false;
};

class Operators {
 public:
  Operators() {
    this->table.commit_concurrent_change = [this] {
      FlakyTable& table = this->table;
      const auto faults = std::exchange(table.faults, {});
      ConfigurationStore<FlakyTable> other(table);
      (void)other.Propose(
          testing::SampleConfiguration(), table.history.size(),
          "concurrent" + std::to_string(this->concurrent_changes++));
      table.faults = faults;
    };
  }

  void Run(const Step& step) {
    const auto last = this->last_change_of.find(step.operator_number);
    if (step.is_repeat && last != this->last_change_of.end()) {
      this->Propose(this->changes[last->second], step.faults);
      return;
    }
    const auto version = this->table.history.size();
    const auto behind = static_cast<std::uint64_t>(step.behind);
    this->last_change_of[step.operator_number] = this->changes.size();
    this->changes.push_back(
        Change{version > behind ? version - behind : 0,
               "operation" + std::to_string(this->changes.size())});
    this->Propose(this->changes.back(), step.faults);
  }

  // Repeats the proposals with unknown result, without faults.
  void Settle() {
    this->table.DeliverDelayed();
    for (Change& change : this->changes) {
      if (change.reported_result == ProposalResult::kUnknown) {
        this->Propose(change, {});
      }
    }
  }

  // Compares the reported results with the list of operations that took effect
  // in the table: the operation at index n produced version n + 1 from version
  // n.
  void Check() {
    const std::vector<std::string>& history = this->table.history;
    for (const Change& change : this->changes) {
      const auto count =
          std::count(history.begin(), history.end(), change.operation_id);
      if (change.reported_result == ProposalResult::kAccepted) {
        RC_ASSERT(count == 1);
        RC_ASSERT(history.at(change.version - 1) == change.operation_id);
        RC_ASSERT(change.version == change.base + 1);
      } else {
        RC_ASSERT(count == 0);
      }
      RC_ASSERT(change.reported_result != ProposalResult::kUnknown);
    }
    ConfigurationStore<FlakyTable> store(this->table);
    RC_ASSERT(store.Read().value().version == history.size());
  }

  static inline int accepted = 0;
  static inline int refused = 0;
  static inline int unknown = 0;

 private:
  void Propose(Change& change, const std::vector<CommitFault>& faults) {
    this->table.faults = faults;
    ConfigurationStore<FlakyTable> store(this->table);
    const Proposal proposal = store.Propose(testing::SampleConfiguration(),
                                            change.base, change.operation_id);
    this->table.faults.clear();
    const bool was_settled =
        change.reported_result == ProposalResult::kAccepted ||
        change.reported_result == ProposalResult::kConflict;
    if (was_settled) {
      RC_ASSERT(proposal.result == change.reported_result);
    }
    const bool is_outage = proposal.result == ProposalResult::kStoreUnavailable;
    // An outage does not tell the result of an earlier attempt.
    if (!(is_outage && change.was_unknown)) {
      change.reported_result = proposal.result;
      change.version = proposal.version;
    }
    change.was_unknown |= proposal.result == ProposalResult::kUnknown;
    accepted += proposal.result == ProposalResult::kAccepted ? 1 : 0;
    unknown += proposal.result == ProposalResult::kUnknown ? 1 : 0;
    refused += proposal.result == ProposalResult::kConflict ? 1 : 0;
  }

  FlakyTable table;
  std::vector<Change> changes;
  std::map<int, std::size_t> last_change_of;
  int concurrent_changes = 0;
};

class RacingOperatorsPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RacingOperatorsPropertyTest);
  CPPUNIT_TEST(ReportedResultsAgreeWithTable);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a change that is reported as accepted but was not, one that
  // is reported as refused but takes effect later, and one that takes effect
  // twice.
  void ReportedResultsAgreeWithTable() {
    const bool holds = rc::check("reported results agree with the table", [] {
      const auto steps = *rc::gen::container<std::vector<Step>>(AnyStep());
      Operators operators;
      for (const Step& step : steps) {
        operators.Run(step);
      }
      operators.Settle();
      operators.Check();
    });
    std::cerr << "racing operators: " << Operators::accepted << " accepted, "
              << Operators::refused << " conflicts, " << Operators::unknown
              << " unknown at first\n";
    CPPUNIT_ASSERT(holds);
    CPPUNIT_ASSERT(Operators::accepted > 0 && Operators::refused > 0 &&
                   Operators::unknown > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RacingOperatorsPropertyTest);

}  // namespace
}  // namespace laburnumkeel::configuration
