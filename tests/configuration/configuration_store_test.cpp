#include "laburnumkeel/configuration/configuration_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/support/fake_table.h"
#include "tests/support/sample_configuration.h"

namespace laburnumkeel::configuration {
namespace {

using testing::FakeTable;
using testing::TableFault;

class ConfigurationStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationStoreTest);
  CPPUNIT_TEST(VersionsIncreaseByOne);
  CPPUNIT_TEST(SecondChangeOnSameBaseConflicts);
  CPPUNIT_TEST(ReportsAcceptedAfterLostResponse);
  CPPUNIT_TEST(RepeatedProposalIsAcceptedAfterLaterChanges);
  CPPUNIT_TEST(RefusesFaultsAndOutage);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a version number taken from the operator's document instead
  // of the base version.
  void VersionsIncreaseByOne() {
    model::Configuration document = testing::SampleConfiguration();
    document.version = 77;
    this->ExpectAccepted(this->store.Propose(document, 0, "a"), 1);
    this->ExpectAccepted(this->store.Propose(document, 1, "b"), 2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->store.Read().value().version);
  }

  // Guards against a change that overwrites another one which its operator has
  // not seen.
  void SecondChangeOnSameBaseConflicts() {
    model::Configuration document = testing::SampleConfiguration();
    this->ExpectAccepted(this->store.Propose(document, 0, "a"), 1);
    document.fleet_size = 9;
    const Proposal proposal = this->store.Propose(document, 0, "b");
    CPPUNIT_ASSERT(proposal.result == ProposalResult::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, proposal.version);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, proposal.current.value().fleet_size);
  }

  // Guards against an accepted change that is reported as failed.
  void ReportsAcceptedAfterLostResponse() {
    this->table.SetFault(TableFault::kLoseResponse);
    this->ExpectAccepted(
        this->store.Propose(testing::SampleConfiguration(), 0, "a"), 1);
  }

  // Guards against reporting a conflict when an operator repeats an accepted
  // change after another change followed it.
  void RepeatedProposalIsAcceptedAfterLaterChanges() {
    const model::Configuration document = testing::SampleConfiguration();
    this->ExpectAccepted(this->store.Propose(document, 0, "a"), 1);
    this->ExpectAccepted(this->store.Propose(document, 1, "b"), 2);
    this->ExpectAccepted(this->store.Propose(document, 0, "a"), 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->store.Read().value().version);
  }

  // Guards against a refused change that modifies the store.
  void RefusesFaultsAndOutage() {
    model::Configuration document = testing::SampleConfiguration();
    document.client_accounts[0].rate = 0;
    const Proposal invalid = this->store.Propose(document, 0, "a");
    CPPUNIT_ASSERT(invalid.result == ProposalResult::kInvalid);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, invalid.faults.size());
    this->table.SetFault(TableFault::kDown);
    const Proposal down =
        this->store.Propose(testing::SampleConfiguration(), 0, "b");
    CPPUNIT_ASSERT(down.result == ProposalResult::kStoreUnavailable);
    this->table.SetFault(TableFault::kNone);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, this->store.Read().value().version);
  }

 private:
  void ExpectAccepted(const Proposal& proposal, std::uint64_t version) {
    CPPUNIT_ASSERT(proposal.result == ProposalResult::kAccepted);
    CPPUNIT_ASSERT_EQUAL(version, proposal.version);
  }

  FakeTable table;
  ConfigurationStore<FakeTable> store{this->table};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationStoreTest);

}  // namespace
}  // namespace laburnumkeel::configuration
