#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "laburnumkeel/transport/http_channel.h"
#include "laburnumkeel/transport/http_responder.h"
#include "tests/support/cut_link.h"
#include "tests/support/free_port.h"

namespace laburnumkeel::transport {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using testing::CutLink;

// Calls that must not be executed after their caller has given them up.
class WithdrawnCallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WithdrawnCallTest);
  CPPUNIT_TEST(CallOfAKilledProcessDoesNotArrive);
  CPPUNIT_TEST(CallOfAStoppedProcessDoesNotArrive);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    this->server.Listen(this->address);
    this->link.Cut();
  }

  // Guards against bytes that the system delivers for a process that was
  // killed.
  void CallOfAKilledProcessDoesNotArrive() {
    const pid_t child = Fork(this->link.Address(), kLongTimeout, "body");
    this->RunUntilSent();
    End(child);
    this->Run(milliseconds(50));
    this->link.Heal();
    this->Run(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(0, this->calls);
  }

  // Load pattern: a process is stopped while a server that does not read holds
  // up most of a request. Guards against a system that goes on delivering it.
  void CallOfAStoppedProcessDoesNotArrive() {
    tcp::acceptor acceptor(this->loop);
    acceptor.open(tcp::v4());
    acceptor.set_option(tcp::socket::receive_buffer_size(kSmallBufferBytes));
    acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    acceptor.listen();
    const std::string body(kLargeBodyBytes, 'x');
    const pid_t child =
        Fork("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
             milliseconds(1000), body);
    std::this_thread::sleep_for(milliseconds(300));
    kill(child, SIGSTOP);
    std::this_thread::sleep_for(milliseconds(4000));
    tcp::socket socket = acceptor.accept();
    std::string received;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received),
                      boost::asio::transfer_at_least(body.size()), error);
    End(child);
    CPPUNIT_ASSERT(error);
    CPPUNIT_ASSERT(!received.empty());
    CPPUNIT_ASSERT(received.size() < body.size());
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

  // Starts a process that makes a call and waits.
  static pid_t Fork(const std::string& address, milliseconds timeout,
                    const std::string& body) {
    const pid_t child = fork();
    CPPUNIT_ASSERT(child >= 0);
    if (child > 0) {
      return child;
    }
    boost::asio::io_context child_loop;
    HttpChannel channel(child_loop, address);
    HttpCall call;
    call.method = "POST";
    call.body = body;
    call.timeout = timeout;
    call.is_withdrawable = true;
    channel.Send(call, [](const HttpAnswer&) {});
    child_loop.run_for(kLongTimeout);
    _exit(0);
  }

  static void End(pid_t child) {
    kill(child, SIGKILL);
    int status = 0;
    CPPUNIT_ASSERT_EQUAL(child, waitpid(child, &status, 0));
  }

  static constexpr milliseconds kLongTimeout{60'000};
  static constexpr int kSmallBufferBytes = 2304;
  static constexpr std::size_t kLargeBodyBytes = 30'000;

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
