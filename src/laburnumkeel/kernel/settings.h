#ifndef LABURNUMKEEL_KERNEL_SETTINGS_H_
#define LABURNUMKEEL_KERNEL_SETTINGS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumkeel::kernel {

// The settings of a program, each a flag `--some-name` and an environment
// variable `LABURNUMKEEL_SOME_NAME`; the flag takes precedence. `Parse` checks
// all settings and reports every error with name, value, allowed range and
// unit.
class Settings {
 public:
  Settings(std::string program, std::string description);
  ~Settings();
  Settings(const Settings&) = delete;
  Settings& operator=(const Settings&) = delete;

  // Adds an integer from `minimum` to `maximum`; `target` holds the default
  // until `Parse` stores the value.
  void AddInteger(std::string_view name, std::int64_t& target,
                  std::int64_t minimum, std::int64_t maximum,
                  std::string_view unit, std::string_view help);

  // Adds a string of at least `minimum_length` characters; 0 makes it optional.
  void AddText(std::string_view name, std::string& target,
               std::size_t minimum_length, std::string_view help);

  // Adds a string that never appears in help output or error messages.
  void AddSecret(std::string_view name, std::string& target,
                 std::size_t minimum_length, std::string_view help);

  // Adds an address `IP:port`.
  void AddAddress(std::string_view name, std::string& target,
                  std::string_view help);

  // Adds a flag without a value; its environment variable is `true` or `false`.
  void AddSwitch(std::string_view name, bool& target, std::string_view help);

  // Reads flags and environment variables. Returns the exit code when the
  // program must exit: 0 after --help or --version, 2 after printing the
  // errors.
  std::optional<int> Parse(int argument_count, const char* const* arguments);

  // The errors of the last `Parse`, one line each.
  const std::vector<std::string>& Errors() const;

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_SETTINGS_H_
