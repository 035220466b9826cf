#ifndef LABURNUMKEEL_STATEMENTS_SESSION_VALUES_H_
#define LABURNUMKEEL_STATEMENTS_SESSION_VALUES_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace laburnumkeel::statements {

// What a prepared statement does. Its name is not included, because each client
// chooses its own.
struct PreparedShape {
  bool is_write = false;
  std::string shape;

  // The check mistakes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const PreparedShape&) const = default;
};

// The session values and prepared statements of one client connection.
struct SessionValues {
  std::map<std::string, std::string> values;
  std::map<std::string, PreparedShape> prepared;

  bool operator==(const SessionValues&) const = default;
};

// What has to be sent on an endpoint connection before a statement of a client
// session can run on it.
struct ConnectionSetup {
  // The connection has a value that the session does not have. It can only be
  // removed by discarding all values and prepared statements.
  bool discard = false;
  std::vector<std::pair<std::string, std::string>> values;
  // The name on this connection of a statement to prepare, and the statement.
  std::optional<std::pair<std::string, PreparedShape>> prepare;
  // The name on this connection of the statement to execute; empty without one.
  std::string prepared_name;

  bool IsEmpty() const {
    return !this->discard && this->values.empty() && !this->prepare;
  }
  bool operator==(const ConnectionSetup&) const = default;
};

// Values and prepared statements that are set on an endpoint connection. Each
// shape has its own name on the connection, so that clients whose names collide
// can share the connection without preparing their statements again.
class ConnectionValues {
 public:
  // The setup for a session with `session_values`, which executes `shape` if
  // set. Afterwards this object assumes that the setup is in effect: the caller
  // has to send all of it or close the connection.
  ConnectionSetup PlanSetup(
      const std::map<std::string, std::string>& session_values,
      const std::optional<PreparedShape>& shape);

  // True if no discard would be needed for `session_values`.
  bool IsSubsetOf(
      const std::map<std::string, std::string>& session_values) const;

  const std::map<std::string, std::string>& Values() const {
    return this->values;
  }

  // Memory of the values and prepared statements. Clients choose them, and a
  // connection keeps those of many clients.
  std::size_t Bytes() const { return this->bytes; }

 private:
  std::map<std::string, std::string> values;
  std::map<PreparedShape, std::string> prepared_names;
  std::size_t bytes = 0;
};

}  // namespace laburnumkeel::statements

#endif  // LABURNUMKEEL_STATEMENTS_SESSION_VALUES_H_
