#ifndef LABURNUMKEEL_STANDINS_FLEET_FLEET_H_
#define LABURNUMKEEL_STANDINS_FLEET_FLEET_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "laburnumkeel/transport/http_message.h"
#include "standins/standin-fleet/child_process.h"
#include "standins/standin-fleet/deployment.h"

namespace laburnumkeel::standin {

// The three programs of one VM.
struct VmProcesses {
  ChildProcess control;
  ChildProcess administration;
  ChildProcess entry;
};

// A response of a program of the fleet; status 0 when none arrived, with the
// reason in `error`.
struct FleetResponse {
  int status = 0;
  std::string body;
  std::string session_token;
  std::string error;
};

// A whole deployment as processes on loopback: the platform, 9 endpoints and
// the programs of 8 VMs.
class Fleet {
 public:
  // `binaries` is the folder of the programs, `logs` an existing folder for
  // their output.
  Fleet(Deployment deployment, std::string binaries, std::string logs);

  // Starts all programs, applies the configuration and waits until all entry
  // programs are ready. Returns false when a step takes more than 30 s.
  bool Start();

  // Stops the VMs gracefully, then the stand-ins. Returns the number of
  // programs that did not end with exit code 0.
  int Stop();

  void StartVm(int vm);
  VmProcesses& Vm(int vm) { return this->vms.at(vm); }
  ChildProcess& Endpoint(int group, int member);
  ChildProcess& Platform() { return this->platform.front(); }
  void StartEndpoint(int group, int member, bool initial_primary);

  // Sends a statement as a client of the entry program: `kind` is `read` or
  // `write`, `body` the JSON body.
  FleetResponse Call(int vm, const std::string& kind, const std::string& key,
                     const std::string& body, const std::string& session) const;

  // Sends a request to the address of a VM, an endpoint or the platform.
  FleetResponse Send(const std::string& address,
                     const transport::HttpRequest& request) const;

  // Sets a fault of an endpoint or of the platform (JSON of `POST /faults`).
  bool SetEndpointFault(int group, int member, const std::string& fault) const;
  bool SetPlatformFault(const std::string& fault) const;

  // The member that is the primary of the highest term; -1 when none is.
  int FindPrimary(int group) const;

  bool WaitUntilReady(int vm, std::chrono::milliseconds timeout) const;

  const Deployment& GetDeployment() const { return this->deployment; }

  // Administrator secret of the fleet's administration programs.
  static const char* AdministratorSecret();

 private:
  void StartPlatform();
  bool ApplyConfiguration() const;
  std::string LogPath(const std::string& name) const;

  const Deployment deployment;
  const std::string binaries;
  const std::string logs;
  std::vector<ChildProcess> platform;
  std::map<std::string, ChildProcess> endpoints;
  std::map<int, VmProcesses> vms;
};

}  // namespace laburnumkeel::standin

#endif  // LABURNUMKEEL_STANDINS_FLEET_FLEET_H_
