#ifndef LABURNUMKEEL_STATEMENTS_SESSION_VALUES_H_
#define LABURNUMKEEL_STATEMENTS_SESSION_VALUES_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace laburnumkeel::statements {

// What a prepared statement does; its name is the client's affair.
struct PreparedShape {
  bool is_write = false;
  std::string shape;

  // The check takes the 0 of a rewritten comparison for a null pointer.
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
// session may run on it.
struct ConnectionSetup {
  // The connection holds a value that the session does not have, and only
  // discarding everything removes it.
  bool discard = false;
  std::vector<std::pair<std::string, std::string>> values;
  // The statement to prepare and the connection's name for it.
  std::optional<std::pair<std::string, PreparedShape>> prepare;
  // The connection's name of the statement to execute; empty without one.
  std::string prepared_name;

  bool IsEmpty() const {
    return !this->discard && this->values.empty() && !this->prepare;
  }
  bool operator==(const ConnectionSetup&) const = default;
};

// Values and prepared statements that an endpoint connection holds. Prepared
// statements are named by their shape, so that clients with colliding names
// share a connection without preparing again.
class ConnectionValues {
 public:
  // The setup for a session with `wanted`, which executes `shape` if set. The
  // connection counts as set up afterwards: the caller has to send all of it
  // or close the connection.
  ConnectionSetup PlanSetup(const std::map<std::string, std::string>& wanted,
                            const std::optional<PreparedShape>& shape);

  // True when no discard would be needed for `wanted`.
  bool IsSubsetOf(const std::map<std::string, std::string>& wanted) const;

  const std::map<std::string, std::string>& Values() const {
    return this->values;
  }

 private:
  std::map<std::string, std::string> values;
  std::map<PreparedShape, std::string> prepared_names;
};

}  // namespace laburnumkeel::statements

#endif  // LABURNUMKEEL_STATEMENTS_SESSION_VALUES_H_
