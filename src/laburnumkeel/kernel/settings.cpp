#include "laburnumkeel/kernel/settings.h"

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cctype>
#include <charconv>
#include <iostream>
#include <set>

namespace laburnumkeel::kernel {

namespace {

constexpr std::string_view kEnvironmentPrefix = "LABURNUMKEEL_";
constexpr int kUsageExitCode = 2;

std::string EnvironmentName(std::string_view name) {
  std::string result(kEnvironmentPrefix);
  for (const char c : name) {
    result += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  }
  return result;
}

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(text.substr(0, colon), error);
  const auto port = ParseInteger(text.substr(colon + 1));
  return !error && port.has_value() && *port >= 1 && *port <= 65535;
}

}  // namespace

struct Settings::Implementation {
  // Checks the text of a setting and stores its value, or returns an error
  // message.
  using Check = std::function<std::optional<std::string>(const std::string&)>;

  struct Setting {
    std::string raw;
    CLI::Option* option = nullptr;
    Check check;
  };

  Implementation(std::string program, std::string description)
      : app(std::move(description), std::move(program)) {
    this->app.set_version_flag("--version", LABURNUMKEEL_VERSION);
  }

  void Add(std::string_view name, std::string help, std::string default_text,
           Check check) {
    auto setting = std::make_unique<Setting>();
    setting->check = std::move(check);
    setting->option =
        this->app
            .add_option("--" + std::string(name), setting->raw, std::move(help))
            ->envname(EnvironmentName(name));
    setting->option->default_str(std::move(default_text));
    this->known_variables.insert(EnvironmentName(name));
    this->settings.push_back(std::move(setting));
  }

  void ReportUnknownVariables() {
    for (char** variable = environ; *variable != nullptr; ++variable) {
      const std::string_view text(*variable);
      const std::string name(text.substr(0, text.find('=')));
      if (name.starts_with(kEnvironmentPrefix) &&
          !this->known_variables.contains(name)) {
        this->errors.push_back("unknown environment variable " + name);
      }
    }
  }

  CLI::App app;
  std::vector<std::unique_ptr<Setting>> settings;
  std::set<std::string> known_variables;
  std::vector<std::string> errors;
};

Settings::Settings(std::string program, std::string description)
    : implementation(std::make_unique<Implementation>(
          std::move(program), std::move(description))) {}

Settings::~Settings() = default;

void Settings::AddInteger(std::string_view name, std::int64_t& target,
                          std::int64_t minimum, std::int64_t maximum,
                          std::string_view unit, std::string_view help) {
  const std::string range = std::to_string(minimum) + " to " +
                            std::to_string(maximum) + " " + std::string(unit);
  this->implementation->Add(
      name, std::string(help) + " (" + range + ")", std::to_string(target),
      [&target, minimum, maximum, range, label = std::string(name)](
          const std::string& raw) -> std::optional<std::string> {
        const auto value = ParseInteger(raw);
        if (!value.has_value() || *value < minimum || *value > maximum) {
          return "--" + label + ": value '" + raw + "', allowed " + range;
        }
        target = *value;
        return std::nullopt;
      });
}

void Settings::AddText(std::string_view name, std::string& target,
                       std::size_t minimum_length, std::string_view help) {
  this->implementation->Add(
      name, std::string(help), target,
      [&target, minimum_length, label = std::string(name)](
          const std::string& raw) -> std::optional<std::string> {
        if (raw.size() < minimum_length) {
          return "--" + label + ": value '" + raw + "', allowed at least " +
                 std::to_string(minimum_length) + " characters";
        }
        target = raw;
        return std::nullopt;
      });
}

void Settings::AddSecret(std::string_view name, std::string& target,
                         std::size_t minimum_length, std::string_view help) {
  this->implementation->Add(
      name, std::string(help), "",
      [&target, minimum_length, label = std::string(name)](
          const std::string& raw) -> std::optional<std::string> {
        if (raw.size() < minimum_length) {
          return "--" + label + ": a secret of " + std::to_string(raw.size()) +
                 " characters, allowed at least " +
                 std::to_string(minimum_length) + " characters";
        }
        target = raw;
        return std::nullopt;
      });
}

void Settings::AddAddress(std::string_view name, std::string& target,
                          std::string_view help) {
  this->implementation->Add(
      name, std::string(help) + " (IP:port)", target,
      [&target, label = std::string(name)](
          const std::string& raw) -> std::optional<std::string> {
        if (!IsAddress(raw)) {
          return "--" + label + ": value '" + raw +
                 "', allowed an IP address and a port from 1 to 65535, as "
                 "127.0.0.1:8080";
        }
        target = raw;
        return std::nullopt;
      });
}

void Settings::AddSwitch(std::string_view name, bool& target,
                         std::string_view help) {
  this->implementation->app
      .add_flag("--" + std::string(name), target, std::string(help))
      ->envname(EnvironmentName(name));
  this->implementation->known_variables.insert(EnvironmentName(name));
}

std::optional<int> Settings::Parse(int argument_count,
                                   const char* const* arguments) {
  Implementation& state = *this->implementation;
  state.errors.clear();
  try {
    state.app.parse(argument_count, arguments);
  } catch (const CLI::ParseError& error) {
    if (error.get_exit_code() == 0) {
      state.app.exit(error);
      return 0;
    }
    state.errors.emplace_back(error.what());
  }
  state.ReportUnknownVariables();
  for (const auto& setting : state.settings) {
    const std::string raw = setting->option->count() > 0
                                ? setting->raw
                                : setting->option->get_default_str();
    if (auto message = setting->check(raw)) {
      state.errors.push_back(std::move(*message));
    }
  }
  if (state.errors.empty()) {
    return std::nullopt;
  }
  for (const std::string& message : state.errors) {
    std::cerr << state.app.get_name() << ": " << message << '\n';
  }
  return kUsageExitCode;
}

const std::vector<std::string>& Settings::Errors() const {
  return this->implementation->errors;
}

}  // namespace laburnumkeel::kernel
