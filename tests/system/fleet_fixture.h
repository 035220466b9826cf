#ifndef LABURNUMKEEL_TESTS_SYSTEM_FLEET_FIXTURE_H_
#define LABURNUMKEEL_TESTS_SYSTEM_FLEET_FIXTURE_H_

#include <chrono>
#include <filesystem>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "standins/standin-fleet/fleet.h"

namespace laburnumkeel::testing {

// Deployment of real processes with a temporary log folder, which the
// destructor removes.
class FleetFixture {
 public:
  explicit FleetFixture(const standin::Deployment& deployment)
      : logs(MakeFolder()),
        fleet(deployment, BINARY_FOLDER, this->logs.string()) {}
  ~FleetFixture() {
    std::error_code ignored;
    std::filesystem::remove_all(this->logs, ignored);
  }
  FleetFixture(const FleetFixture&) = delete;
  FleetFixture& operator=(const FleetFixture&) = delete;

  standin::Fleet& Fleet() { return this->fleet; }

  const std::string& Key(std::size_t account = 0) const {
    return this->fleet.GetDeployment().accounts.at(account).key;
  }

  standin::FleetResponse Write(int vm, const std::string& group,
                               const std::string& statement,
                               const std::string& session = "") {
    return this->fleet.Call(
        vm, "write", this->Key(),
        nlohmann::json{{"group", group}, {"statement", statement}}.dump(),
        session);
  }

  standin::FleetResponse Read(int vm, const std::string& group,
                              const std::string& statement,
                              const std::string& session = "") {
    return this->fleet.Call(
        vm, "read", this->Key(),
        nlohmann::json{{"group", group}, {"statement", statement}}.dump(),
        session);
  }

  // Sends a request with the administrator secret to a VM's administration
  // program.
  standin::FleetResponse Administer(int vm, const std::string& method,
                                    const std::string& target,
                                    const std::string& body = "") {
    return this->fleet.Send(
        standin::VmAddress(this->fleet.GetDeployment(), vm,
                           standin::kAdminPort),
        transport::HttpRequest{
            method,
            target,
            {{"Authorization",
              std::string("Bearer ") + standin::Fleet::AdministratorSecret()}},
            body,
            {}});
  }

  // Concatenated logs of all programs of the fleet.
  std::string Logs() const;

 private:
  static std::filesystem::path MakeFolder() {
    std::string folder =
        (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
    return mkdtemp(folder.data());
  }

  const std::filesystem::path logs;
  standin::Fleet fleet;
};

// Polls `condition` until it holds; false after `timeout`.
inline bool Eventually(std::chrono::milliseconds timeout,
                       const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return true;
}

// Returns the value at a JSON pointer as text; empty if the document is invalid
// or has no such value.
inline std::string Field(const std::string& body, const std::string& pointer) {
  const auto document = nlohmann::json::parse(body, nullptr, false);
  const nlohmann::json::json_pointer path(pointer);
  if (document.is_discarded() || !document.contains(path)) {
    return "";
  }
  const nlohmann::json& value = document[path];
  return value.is_string() ? value.get<std::string>() : value.dump();
}

}  // namespace laburnumkeel::testing

#endif  // LABURNUMKEEL_TESTS_SYSTEM_FLEET_FIXTURE_H_
