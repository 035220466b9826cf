#ifndef LABURNUMKEEL_TESTS_SUPPORT_SCRIPTED_SERVER_H_
#define LABURNUMKEEL_TESTS_SUPPORT_SCRIPTED_SERVER_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laburnumkeel::testing {

// How a `ScriptedServer` responds to a request.
enum class Reply {
  kComplete,
  // Closes the connection before a byte of the request is read.
  kCloseBeforeReading,
  kCloseAfterReading,
  // Sends the first half of the response and closes.
  kHalf,
  // Sends the first half of the response and keeps the connection open.
  kHalfThenSilent,
  // Sends the response after `kReplyDelay`.
  kLate,
  // Keeps the connection open without a response.
  kSilent,
  kWrongRequestId,
  // Sends the response two times.
  kTwice,
  // Sends the response, then another one after `kReplyDelay`.
  kTwiceLater,
  // Sends the response and closes the connection.
  kCompleteThenClose,
  // A result of 2 MiB.
  kOversized,
  kNotJson,
  // JSON nested 100,000 levels deep.
  kDeeplyNested,
  // HTTP status 500 without a JSON body.
  kServerError,
};

inline constexpr std::chrono::milliseconds kReplyDelay{300};

// A request as the server received it.
struct ReceivedRequest {
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;
};

// An endpoint in this process that responds according to a script. Status calls
// get a normal response unless `SetStatusReply` changes it, and are counted
// separately.
class ScriptedServer {
 public:
  // Returns the response body for a request to any target except the status.
  using Responder = std::function<std::string(const ReceivedRequest&)>;

  explicit ScriptedServer(const std::string& endpoint = "endpoint-1");
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  // `IP:port`, also after `StopListening`.
  std::string Address() const;

  // Sets the reply to future requests, except status calls.
  void SetReply(Reply reply);

  // Sets the reply to future status calls.
  void SetStatusReply(Reply reply);

  // Replaces the normal response, which echoes the request id with term 3,
  // position 7 and the statement as result.
  void SetResponder(Responder responder);

  // Refuses new connections; open ones stay open.
  void StopListening();

  // Closes all open connections and waits until they are closed.
  void CloseConnections();

  // Requests whose headers and body were received, except status calls.
  std::vector<ReceivedRequest> Received() const;
  std::size_t StatusCalls() const;

  // Number of received requests with this id.
  std::size_t CountOf(const std::string& request_id) const;

  std::size_t OpenConnections() const;

  // Highest number of connections that were open when one was accepted.
  std::size_t MaximumOpenConnections() const;

 private:
  struct Implementation;

  std::unique_ptr<Implementation> implementation;
};

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SUPPORT_SCRIPTED_SERVER_H_
