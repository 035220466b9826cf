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
  CPPUNIT_TEST(LostResponseReadsAsAccepted);
  CPPUNIT_TEST(RepeatedProposalReadsAsAcceptedAfterOthers);
  CPPUNIT_TEST(RefusesFaultsAndOutage);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a version that an operator's document sets.
  void VersionsIncreaseByOne() {
    model::Configuration document = testing::SampleConfiguration();
    document.version = 77;
    this->ExpectAccepted(this->store.Propose(document, 0, "a"), 1);
    this->ExpectAccepted(this->store.Propose(document, 1, "b"), 2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->store.Read().value().version);
  }

  // Guards against a change that overwrites another unseen.
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
  void LostResponseReadsAsAccepted() {
    this->table.SetFault(TableFault::kLoseResponse);
    this->ExpectAccepted(
        this->store.Propose(testing::SampleConfiguration(), 0, "a"), 1);
  }

  // Guards against a conflict for an operator whose accepted change was
  // followed by another one before the repetition.
  void RepeatedProposalReadsAsAcceptedAfterOthers() {
    const model::Configuration document = testing::SampleConfiguration();
    this->ExpectAccepted(this->store.Propose(document, 0, "a"), 1);
    this->ExpectAccepted(this->store.Propose(document, 1, "b"), 2);
    this->ExpectAccepted(this->store.Propose(document, 0, "a"), 1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, this->store.Read().value().version);
  }

  // Guards against a change of the store in spite of a refusal.
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
