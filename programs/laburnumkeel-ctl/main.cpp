#include <CLI/CLI.hpp>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "laburnumkeel/configuration/address.h"
#include "programs/laburnumkeel-ctl/commands.h"

namespace {

using laburnumkeel::ctl::AdminClient;
using laburnumkeel::ctl::Commands;

// The arguments of all subcommands.
struct Arguments {
  std::string address = "127.0.0.1:8090";
  std::string secret;
  std::string file;
  std::optional<std::uint64_t> base_version;
  std::string service;
  std::string group;
  std::string name;
  std::string key_id;
  std::string state;
  std::optional<double> rate;
  std::optional<double> burst;
};

// Runs a subcommand after its arguments have been parsed.
using Action = std::function<int(Commands&)>;

class CommandLine {
 public:
  CommandLine() : app("Operates a laburnumkeel fleet", "laburnumkeel-ctl") {
    this->app.set_version_flag("--version", LABURNUMKEEL_VERSION);
    this->app.require_subcommand(1);
    this->app.fallthrough();
    this->app
        .add_option("--address", this->arguments.address,
                    "administration API of any VM (IP:port)")
        ->envname("LABURNUMKEEL_ADMIN_ADDRESS")
        ->capture_default_str()
        ->check(CLI::Validator(CheckAddress, "IP:port"));
    this->app
        .add_option("--admin-secret", this->arguments.secret,
                    "administrator secret; other users of this machine can "
                    "read flags, so prefer the variable")
        ->envname("LABURNUMKEEL_ADMIN_SECRET");
    this->AddDocumentCommands();
    this->AddKeyCommands();
    this->AddStateCommands();
    this->Add("show", "print the configuration",
              [](Commands& commands) { return commands.Show(); });
    this->Add("fleet", "print the state of all VMs",
              [](Commands& commands) { return commands.Fleet(); });
    this->Add("usage",
              "print the newest usage windows, and who reports them; --address "
              "is the readiness address of any proxy, best the leader's",
              [](Commands& commands) { return commands.Usage(); });
    this->Add("events", "print the catalogue of log events",
              [](Commands& commands) { return commands.Events(); });
  }

  int Run(int argument_count, char** argument_values) {
    try {
      this->app.parse(argument_count, argument_values);
    } catch (const CLI::ParseError& error) {
      const bool shown = this->app.exit(error) == 0;
      return shown ? laburnumkeel::ctl::kSuccessCode
                   : laburnumkeel::ctl::kUsageCode;
    }
    AdminClient client(this->arguments.address, this->arguments.secret);
    Commands commands(client, std::cout, std::cerr);
    return this->actions.at(this->app.get_subcommands().front())(commands);
  }

 private:
  static std::string CheckAddress(const std::string& text) {
    return laburnumkeel::configuration::IsAddress(text)
               ? ""
               : "value '" + text + "', allowed IP:port";
  }

  CLI::App* Add(const std::string& name, const std::string& description,
                Action action) {
    CLI::App* command = this->app.add_subcommand(name, description);
    this->actions[command] = std::move(action);
    return command;
  }

  void AddDocumentCommands() {
    Arguments& values = this->arguments;
    CLI::App* validate =
        this->Add("validate", "check a configuration document",
                  [&](Commands& c) { return c.Validate(values.file); });
    CLI::App* diff =
        this->Add("diff", "show what a configuration document would change",
                  [&](Commands& c) { return c.Diff(values.file); });
    CLI::App* apply = this->Add(
        "apply", "replace the configuration by a document",
        [&](Commands& c) { return c.Apply(values.file, values.base_version); });
    for (CLI::App* command : {validate, diff, apply}) {
      command->add_option("file", values.file, "JSON document")->required();
    }
    apply->add_option("--base-version", values.base_version,
                      "version that the document replaces; default: the one it "
                      "names, or the current one if it names none");
  }

  void AddKeyCommands() {
    Arguments& values = this->arguments;
    CLI::App* grant =
        this->Add("grant", "create a key; its text is shown once",
                  [&](Commands& c) { return c.Grant(values.name); });
    CLI::App* revoke = this->Add("revoke", "revoke a key", [&](Commands& c) {
      return c.Revoke(values.name, values.key_id);
    });
    CLI::App* account =
        this->Add("account", "change rate and burst of a client account",
                  [&](Commands& c) {
                    return c.SetAccount(values.name, values.rate, values.burst);
                  });
    for (CLI::App* command : {grant, revoke, account}) {
      command->add_option("account", values.name, "client account")->required();
    }
    revoke->add_option("key_id", values.key_id, "id of the key")->required();
    CLI::Option_group* limits = account->add_option_group("limits");
    limits->add_option("--rate", values.rate, "requests a second");
    limits->add_option("--burst", values.burst, "requests at once");
    limits->require_option(1, 2);
  }

  void AddStateCommands() {
    Arguments& values = this->arguments;
    CLI::App* data_centre =
        this->Add("data-centre", "take a data centre in or out of service",
                  [&](Commands& c) {
                    return c.SetDataCentre(values.name, values.state);
                  });
    CLI::App* endpoint = this->Add(
        "endpoint", "take an endpoint in or out of service", [&](Commands& c) {
          return c.SetEndpoint(values.service, values.group, values.name,
                               values.state);
        });
    endpoint->add_option("service", values.service, "service")->required();
    endpoint->add_option("group", values.group, "group")->required();
    for (CLI::App* command : {data_centre, endpoint}) {
      command->add_option("name", values.name, "name")->required();
      command->add_option("state", values.state, "in or out")
          ->required()
          ->check(CLI::IsMember({"in", "out"}));
    }
  }

  CLI::App app;
  Arguments arguments;
  std::map<const CLI::App*, Action> actions;
};

}  // namespace

int main(int argument_count, char** argument_values) {
  return CommandLine().Run(argument_count, argument_values);
}
