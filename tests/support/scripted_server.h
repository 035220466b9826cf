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

// What a `ScriptedServer` does with a request.
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

// An endpoint in this process that follows a script. Status calls are answered
// normally unless the script says otherwise, and counted apart.
class ScriptedServer {
 public:
  // Returns the response body for a request to any target but the status.
  using Responder = std::function<std::string(const ReceivedRequest&)>;

  explicit ScriptedServer(const std::string& endpoint = "endpoint-1");
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  // `IP:port`, also after `StopListening`.
  std::string Address() const;

  // What happens to requests from now on, status calls excluded.
  void SetReply(Reply reply);

  // What happens to status calls from now on.
  void SetStatusReply(Reply reply);

  // Replaces the normal response, which echoes the request id with term 3,
  // position 7 and the statement as result.
  void SetResponder(Responder responder);

  // Refuses new connections; open ones stay open.
  void StopListening();

  // Closes all open connections and waits until they are closed.
  void CloseConnections();

  // Requests whose head and body were received, status calls excluded.
  std::vector<ReceivedRequest> Received() const;
  std::size_t StatusCalls() const;

  // Requests of that id that were received.
  std::size_t CountOf(const std::string& request_id) const;

  std::size_t OpenConnections() const;

  // Counted whenever a connection is accepted.
  std::size_t MaximumOpenConnections() const;

 private:
  struct Implementation;

  std::unique_ptr<Implementation> implementation;
};

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SUPPORT_SCRIPTED_SERVER_H_
