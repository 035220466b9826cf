#include "laburnumkeel/routing/departure_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace laburnumkeel::routing {
namespace {

using kernel::Instant;
using std::chrono::milliseconds;

class DepartureTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DepartureTableTest);
  CPPUNIT_TEST(BoundCountsFromTheLastViewWithoutTheDeparture);
  CPPUNIT_TEST(LaterViewsDoNotExtendTheBound);
  CPPUNIT_TEST(DepartureMissedDuringAnOutageGetsTheSettleTime);
  CPPUNIT_TEST(LaterOutageDoesNotExtendTheBound);
  CPPUNIT_TEST(EndedDepartureHasNoDeadline);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against counting from when this VM learned of the departure.
  void BoundCountsFromTheLastViewWithoutTheDeparture() {
    this->table.ConfirmComplete(At(10'000));
    CPPUNIT_ASSERT(this->table.Begin("e"));
    CPPUNIT_ASSERT(this->Deadline() == At(17'000));
  }

  void LaterViewsDoNotExtendTheBound() {
    this->table.ConfirmComplete(At(10'000));
    this->table.Begin("e");
    this->table.ConfirmComplete(At(12'000));
    CPPUNIT_ASSERT(!this->table.Begin("e"));
    CPPUNIT_ASSERT(this->Deadline() == At(17'000));
  }

  // Guards against closing all endpoints at once when the store returns.
  void DepartureMissedDuringAnOutageGetsTheSettleTime() {
    this->table.ConfirmComplete(At(10'000));
    this->table.OnStoreFailure(At(18'000));
    this->table.Begin("e");
    CPPUNIT_ASSERT(this->Deadline() == At(22'000));
  }

  // Guards against a VM without the store that uses an endpoint for ever.
  void LaterOutageDoesNotExtendTheBound() {
    this->table.ConfirmComplete(At(10'000));
    this->table.Begin("e");
    this->table.OnStoreFailure(At(15'000));
    CPPUNIT_ASSERT(this->Deadline() == At(17'000));
  }

  void EndedDepartureHasNoDeadline() {
    this->table.Begin("e");
    CPPUNIT_ASSERT(this->table.End("e"));
    CPPUNIT_ASSERT(!this->table.End("e"));
    CPPUNIT_ASSERT(!this->Deadline().has_value());
  }

 private:
  static Instant At(int milliseconds_since_start) {
    return Instant(milliseconds(milliseconds_since_start));
  }

  std::optional<Instant> Deadline() const {
    return this->table.Deadline("e", {milliseconds(7000), milliseconds(4000)});
  }

  DepartureTable table;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DepartureTableTest);

}  // namespace
}  // namespace laburnumkeel::routing
