#ifndef LABURNUMKEEL_PROGRAMS_CTL_COMMANDS_H_
#define LABURNUMKEEL_PROGRAMS_CTL_COMMANDS_H_

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>

#include "laburnumkeel/model/configuration.h"
#include "programs/laburnumkeel-ctl/admin_client.h"

namespace laburnumkeel::ctl {

// Exit codes of the program.
inline constexpr int kSuccessCode = 0;
inline constexpr int kRefusedCode = 1;
inline constexpr int kUsageCode = 2;

// The subcommands. Each returns the exit code; results go to `output` and
// the reasons of a failure to `errors`. `client` and the streams must outlive
// this object.
class Commands {
 public:
  Commands(AdminClient& client, std::ostream& output, std::ostream& errors)
      : client(client), output(output), errors(errors) {}

  // Requires no connection.
  int Validate(const std::string& path);
  int Diff(const std::string& path);
  // Replaces `base_version`; without it, the version given in the document,
  // which `Show` prints; without either, the current version.
  int Apply(const std::string& path, std::optional<std::uint64_t> base_version);
  int Show();
  int Grant(const std::string& account);
  int Revoke(const std::string& account, const std::string& key_id);
  // `state` is `in` or `out`.
  int SetDataCentre(const std::string& name, const std::string& state);
  int SetEndpoint(const std::string& service, const std::string& group,
                  const std::string& endpoint, const std::string& state);
  int SetAccount(const std::string& account, std::optional<double> rate,
                 std::optional<double> burst);
  int Fleet();
  // The client's address is the readiness address of a proxy.
  int Usage();
  int Events();

 private:
  // Reads a valid document. Returns an empty value after printing its faults.
  std::optional<model::Configuration> Load(const std::string& path);
  // Returns the fleet's configuration, or an empty value after printing the
  // reason.
  std::optional<model::Configuration> Current();
  void WriteDifference(const model::Configuration& before,
                       const model::Configuration& after);
  // Prints the result and returns the exit code.
  int WriteResult(const kernel::Result<std::string, CallError>& result);

  AdminClient& client;
  std::ostream& output;
  std::ostream& errors;
};

}  // namespace laburnumkeel::ctl

#endif  // LABURNUMKEEL_PROGRAMS_CTL_COMMANDS_H_
