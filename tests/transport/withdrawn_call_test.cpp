#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <string>

#include "laburnumkeel/transport/http_channel.h"
#include "laburnumkeel/transport/http_responder.h"
#include "tests/support/cut_link.h"
#include "tests/support/free_port.h"

namespace laburnumkeel::transport {
namespace {

using std::chrono::milliseconds;
using testing::CutLink;

// Calls that must not be executed after their caller has given them up.
class WithdrawnCallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WithdrawnCallTest);
  CPPUNIT_TEST(CallOfAKilledProcessDoesNotArrive);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->server.Listen(this->address);
    this->link.Cut();
  }

  // Guards against bytes that the system delivers for a process that was
  // killed.
  void CallOfAKilledProcessDoesNotArrive() {
    const pid_t child = fork();
    CPPUNIT_ASSERT(child >= 0);
    if (child == 0) {
      this->SendAndHang();
    }
    this->RunUntilSent();
    kill(child, SIGKILL);
    int status = 0;
    CPPUNIT_ASSERT_EQUAL(child, waitpid(child, &status, 0));
    this->Run(milliseconds(50));
    this->link.Heal();
    this->Run(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(0, this->calls);
  }

 private:
  void Run(milliseconds duration) {
    this->loop.restart();
    this->loop.run_for(duration);
  }

  void RunUntilSent() {
    for (int step = 0; step < 200 && this->link.SentBytes() == 0; ++step) {
      this->Run(milliseconds(10));
    }
    CPPUNIT_ASSERT(this->link.SentBytes() > 0);
  }

  // Runs in the child process.
  [[noreturn]] void SendAndHang() const {
    boost::asio::io_context child_loop;
    HttpChannel channel(child_loop, this->link.Address());
    HttpCall call;
    call.method = "POST";
    call.timeout = milliseconds(60'000);
    call.is_withdrawable = true;
    channel.Send(call, [](const HttpAnswer&) {});
    child_loop.run_for(milliseconds(60'000));
    _exit(0);
  }

  boost::asio::io_context loop;
  int calls = 0;
  const std::string address = testing::FreeAddress();
  HttpResponder server{this->loop, [this](const HttpCall&) {
                         ++this->calls;
                         return HttpAnswer{HttpAnswer::kOk, "{}"};
                       }};
  CutLink link{this->loop, this->address};
};

CPPUNIT_TEST_SUITE_REGISTRATION(WithdrawnCallTest);

}  // namespace
}  // namespace laburnumkeel::transport
