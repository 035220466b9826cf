#include "laburnumkeel/membership/vm_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include "tests/support/manual_clock.h"

namespace laburnumkeel::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Directory = VmDirectory<testing::ManualClock>;

PeerAnswer AnswerOf(const std::string& vm, const std::string& data_centre) {
  return PeerAnswer{vm, data_centre, vm + ":1", false, false, {}};
}

class VmDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VmDirectoryTest);
  CPPUNIT_TEST(OnlyAnswersMakeAPeerLive);
  CPPUNIT_TEST(ListCompletesAddresses);
  CPPUNIT_TEST(AgesCountFromTheRequest);
  CPPUNIT_TEST(CountsDataCentresReachedThroughPeers);
  CPPUNIT_TEST(StoreContactIsNotRefreshedByPeers);
  CPPUNIT_TEST(CountsListedVms);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against relying on the platform's list: a listed VM may be dead and
  // an unlisted one alive.
  void OnlyAnswersMakeAPeerLive() {
    this->directory.SetListed({VmRecord{"dead", "b", "dead:1", "", false}});
    this->directory.OnAnswer(AnswerOf("unlisted", "b"), this->clock.Now());
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
    this->directory.OnAnswer(AnswerOf("p", "b"), this->clock.Now());
    CPPUNIT_ASSERT(VmRecord({"p", "b", "p:1", "p:2", true}) ==
                   this->directory.Live()[1]);
  }

  // Guards against a slow response that counts as a recent contact, and against
  // an older response that replaces a newer one.
  void AgesCountFromTheRequest() {
    const kernel::Instant sent = this->clock.Now();
    this->clock.Advance(seconds(3));
    this->directory.OnAnswer(AnswerOf("p", "b"), sent);
    this->clock.Advance(milliseconds(1001));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->directory.Live().size());
    PeerAnswer departing = AnswerOf("p", "b");
    departing.departing = true;
    this->directory.OnAnswer(departing, this->clock.Now());
    this->directory.OnAnswer(AnswerOf("p", "b"), sent);
    CPPUNIT_ASSERT(this->directory.Live()[1].departing);
  }

  // Guards against a VM that considers itself isolated although a peer is in
  // contact with the others, and against losing the age of a reported contact.
  void CountsDataCentresReachedThroughPeers() {
    const std::vector<std::string> all{"a", "b", "c", "d", "e"};
    PeerAnswer answer = AnswerOf("p", "b");
    answer.contacts = {Contact{"c", seconds(3), false},
                       Contact{"d", seconds(5), false}};
    this->directory.OnAnswer(answer, this->clock.Now());
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
    PeerAnswer third = AnswerOf("q", "c");
    third.reaches_store = true;
    this->directory.OnAnswer(third, this->clock.Now());
    third.reaches_store = false;
    for (int second = 0; second < 6; ++second) {
      CPPUNIT_ASSERT_EQUAL(second <= 4, this->directory.IsStoreReached());
      this->clock.Advance(seconds(1));
      this->directory.OnAnswer(third, this->clock.Now());
      PeerAnswer own = AnswerOf("own", "a");
      own.contacts = this->directory.Contacts();
      other.OnAnswer(own, this->clock.Now());
      PeerAnswer answer = AnswerOf("p", "b");
      answer.contacts = other.Contacts();
      this->directory.OnAnswer(answer, this->clock.Now());
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
    this->directory.OnAnswer(AnswerOf("x", "c"), this->clock.Now());
    CPPUNIT_ASSERT(!this->directory.HasMajorityOfListed());
    this->directory.OnAnswer(AnswerOf("p", "b"), this->clock.Now());
    CPPUNIT_ASSERT(this->directory.HasMajorityOfListed());
  }

 private:
  testing::ManualClock clock;
  Directory directory{this->clock, VmRecord{"own", "a", "own:1", "", false}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(VmDirectoryTest);

}  // namespace
}  // namespace laburnumkeel::membership
