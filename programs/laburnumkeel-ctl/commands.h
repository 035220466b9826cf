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
// reasons of a refusal to `errors`. `client` and the streams outlive it.
class Commands {
 public:
  Commands(AdminClient& client, std::ostream& output, std::ostream& errors)
      : client(client), output(output), errors(errors) {}

  // Needs no connection.
  int Validate(const std::string& path);
  int Diff(const std::string& path);
  // Replaces `base_version`, or without it the version that the document names,
  // as one printed by `Show` does, or else the version that is current now.
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
  int Events();

 private:
  // A valid document, or empty after its faults were written.
  std::optional<model::Configuration> Load(const std::string& path);
  // The fleet's configuration, or empty after the reason was written.
  std::optional<model::Configuration> Current();
  void WriteDifference(const model::Configuration& before,
                       const model::Configuration& after);
  // Writes the result and returns the exit code.
  int Finish(const kernel::Result<std::string, CallError>& result);

  AdminClient& client;
  std::ostream& output;
  std::ostream& errors;
};

}  // namespace laburnumkeel::ctl

#endif  // LABURNUMKEEL_PROGRAMS_CTL_COMMANDS_H_
