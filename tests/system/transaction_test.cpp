#include <cppunit/extensions/HelperMacros.h>

#include "tests/system/fleet_fixture.h"

namespace laburnumkeel::testing {
namespace {

using std::chrono::seconds;

class TransactionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransactionTest);
  CPPUNIT_TEST(ATransactionDiesWithItsVm);
  CPPUNIT_TEST(TransactionsOfTwoVmsDoNotMix);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an unfinished transaction that is committed or keeps its
  // slot after its entry program was killed, and against another VM that
  // accepts its id.
  void ATransactionDiesWithItsVm() {
    FleetFixture fixture(standin::PolishingLedger(30));
    CPPUNIT_ASSERT(fixture.Fleet().Start());
    const std::string id = Begin(fixture, 0);
    CPPUNIT_ASSERT_EQUAL(200, Execute(fixture, 0, id, "ADD half 5").status);
    fixture.Fleet().Vm(0).entry.Kill();
    const auto elsewhere = Execute(fixture, 1, id, "ADD half 5");
    CPPUNIT_ASSERT(elsewhere.status >= 400);
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"),
                         Field(elsewhere.body, "/error/outcome"));
    CPPUNIT_ASSERT_EQUAL(std::string("transaction_not_on_this_vm"),
                         Field(elsewhere.body, "/error/code"));
    // The group must still have slots for as many transactions as before.
    for (int vm = 1; vm < 4; ++vm) {
      const std::string next = Begin(fixture, vm);
      CPPUNIT_ASSERT_EQUAL(200, Send(fixture, vm, next, "abort", "").status);
    }
    const auto value = fixture.Write(1, "g1", "ADD half 0");
    CPPUNIT_ASSERT_EQUAL(std::string("0"), Field(value.body, "/result"));
  }

  // Guards against statements that are sent on another transaction's
  // connection, and against uncommitted writes that are visible to other
  // requests.
  void TransactionsOfTwoVmsDoNotMix() {
    FleetFixture fixture(standin::PolishingLedger(31));
    CPPUNIT_ASSERT(fixture.Fleet().Start());
    const std::string first = Begin(fixture, 0);
    const std::string second = Begin(fixture, 1);
    CPPUNIT_ASSERT_EQUAL(200, Execute(fixture, 0, first, "ADD one 1").status);
    CPPUNIT_ASSERT_EQUAL(200, Execute(fixture, 1, second, "ADD two 2").status);
    const auto unseen = fixture.Write(2, "g1", "ADD one 0");
    CPPUNIT_ASSERT_EQUAL(std::string("0"), Field(unseen.body, "/result"));
    CPPUNIT_ASSERT_EQUAL(200, Send(fixture, 1, second, "commit", "").status);
    CPPUNIT_ASSERT_EQUAL(200, Send(fixture, 0, first, "abort", "").status);
    CPPUNIT_ASSERT_EQUAL(
        std::string("0"),
        Field(fixture.Write(3, "g1", "ADD one 0").body, "/result"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("2"),
        Field(fixture.Write(3, "g1", "ADD two 0").body, "/result"));
  }

 private:
  static standin::FleetResponse Post(FleetFixture& fixture, int vm,
                                     const std::string& target,
                                     const std::string& body) {
    return fixture.Fleet().Send(
        standin::VmAddress(fixture.Fleet().GetDeployment(), vm,
                           standin::kEntryPort),
        transport::HttpRequest{"POST",
                               target,
                               {{"Authorization", "Bearer " + fixture.Key()}},
                               body,
                               {}});
  }

  static std::string Begin(FleetFixture& fixture, int vm) {
    const auto begun = Post(fixture, vm, "/v1/services/ledger/transactions",
                            R"({"group":"g1"})");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(begun.body, 200, begun.status);
    return Field(begun.body, "/transaction");
  }

  static standin::FleetResponse Execute(FleetFixture& fixture, int vm,
                                        const std::string& id,
                                        const std::string& statement) {
    return Send(fixture, vm, id, "statements",
                nlohmann::json{{"statement", statement}}.dump());
  }

  static standin::FleetResponse Send(FleetFixture& fixture, int vm,
                                     const std::string& id,
                                     const std::string& action,
                                     const std::string& body) {
    return Post(fixture, vm, "/v1/transactions/" + id + "/" + action, body);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransactionTest);

}  // namespace
}  // namespace laburnumkeel::testing
