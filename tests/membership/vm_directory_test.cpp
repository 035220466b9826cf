#include "laburnumkeel/membership/vm_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/support/manual_clock.h"

namespace laburnumkeel::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Directory = VmDirectory<testing::ManualClock>;

PeerResponse ResponseOf(const std::string& vm, const std::string& data_centre) {
  return PeerResponse{vm, data_centre, vm + ":1", false, false, {}};
}

class VmDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VmDirectoryTest);
  CPPUNIT_TEST(OnlyResponsesMakeAPeerLive);
  CPPUNIT_TEST(ListCompletesAddresses);
  CPPUNIT_TEST(AgesCountFromTheRequest);
  CPPUNIT_TEST(CountsDataCentresReachedThroughPeers);
  CPPUNIT_TEST(StoreContactIsNotRefreshedByPeers);
  CPPUNIT_TEST(CountsListedVms);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against relying on the platform's list: a listed VM may be dead and
  // an unlisted one alive.
  void OnlyResponsesMakeAPeerLive() {
    this->directory.SetListed({VmRecord{"dead", "b", "dead:1", "", false}});
    this->directory.OnResponse(ResponseOf("unlisted", "b"), this->clock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->directory.Live().size());
    CPPUNIT_ASSERT_EQUAL(std::string("unlisted"),
                         this->directory.Live()[1].name);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->directory.Callable().size());
    this->clock.Advance(seconds(4) + milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->directory.Live().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->directory.Callable().size());
  }

  // Guards against losing the entry address, which only the list contains.
  void ListCompletesAddresses() {
    this->directory.SetListed({VmRecord{"p", "b", "p:1", "p:2", true}});
    this->directory.OnResponse(ResponseOf("p", "b"), this->clock.Now());
    CPPUNIT_ASSERT(VmRecord({"p", "b", "p:1", "p:2", true}) ==
                   this->directory.Live()[1]);
  }

  // Guards against a slow response that counts as a recent contact, and against
  // an older response that replaces a newer one.
  void AgesCountFromTheRequest() {
    const kernel::Instant sent = this->clock.Now();
    this->clock.Advance(seconds(3));
    this->directory.OnResponse(ResponseOf("p", "b"), sent);
    this->clock.Advance(milliseconds(1001));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->directory.Live().size());
    PeerResponse departing = ResponseOf("p", "b");
    departing.departing = true;
    this->directory.OnResponse(departing, this->clock.Now());
    this->directory.OnResponse(ResponseOf("p", "b"), sent);
    CPPUNIT_ASSERT(this->directory.Live()[1].departing);
  }

  // Guards against a VM that considers itself isolated although a peer is in
  // contact with the others, and against losing the age of a reported contact.
  void CountsDataCentresReachedThroughPeers() {
    const std::vector<std::string> all{"a", "b", "c", "d", "e"};
    PeerResponse response = ResponseOf("p", "b");
    response.contacts = {Contact{"c", seconds(3), false},
                         Contact{"d", seconds(5), false}};
    this->directory.OnResponse(response, this->clock.Now());
    CPPUNIT_ASSERT(this->directory.HasMajorityOfDataCentres(all));
    CPPUNIT_ASSERT(
        !this->directory.HasMajorityOfDataCentres({"a", "b", "d", "e"}));
    this->clock.Advance(milliseconds(1001));
    CPPUNIT_ASSERT(!this->directory.HasMajorityOfDataCentres(all));
  }

  // Guards against two VMs that keep reporting to each other that a third data
  // centre reaches the store, long after it no longer does.
  void StoreContactIsNotRefreshedByPeers() {
    Directory other(this->clock, VmRecord{"p", "b", "p:1", "", false});
    PeerResponse third = ResponseOf("q", "c");
    third.reaches_store = true;
    this->directory.OnResponse(third, this->clock.Now());
    third.reaches_store = false;
    for (int second = 0; second < 6; ++second) {
      CPPUNIT_ASSERT_EQUAL(second <= 4, this->directory.IsStoreReached());
      this->clock.Advance(seconds(1));
      this->directory.OnResponse(third, this->clock.Now());
      PeerResponse own = ResponseOf("own", "a");
      own.contacts = this->directory.Contacts();
      other.OnResponse(own, this->clock.Now());
      PeerResponse response = ResponseOf("p", "b");
      response.contacts = other.Contacts();
      this->directory.OnResponse(response, this->clock.Now());
    }
    this->directory.OnStoreReached(this->clock.Now());
    CPPUNIT_ASSERT(this->directory.IsStoreReached());
  }

  // Guards against starting without the store on responses of a minority of the
  // fleet.
  void CountsListedVms() {
    CPPUNIT_ASSERT(!this->directory.HasMajorityOfListed());
    this->directory.SetListed({VmRecord{"own", "a", "", "", false},
                               VmRecord{"p", "b", "p:1", "", false},
                               VmRecord{"q", "c", "q:1", "", false}});
    CPPUNIT_ASSERT(!this->directory.HasMajorityOfListed());
    this->directory.OnResponse(ResponseOf("x", "c"), this->clock.Now());
    CPPUNIT_ASSERT(!this->directory.HasMajorityOfListed());
    this->directory.OnResponse(ResponseOf("p", "b"), this->clock.Now());
    CPPUNIT_ASSERT(this->directory.HasMajorityOfListed());
  }

 private:
  testing::ManualClock clock;
  Directory directory{this->clock, VmRecord{"own", "a", "own:1", "", false}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(VmDirectoryTest);

}  // namespace
}  // namespace laburnumkeel::membership
