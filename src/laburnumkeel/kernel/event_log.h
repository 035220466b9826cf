#ifndef LABURNUMKEEL_KERNEL_EVENT_LOG_H_
#define LABURNUMKEEL_KERNEL_EVENT_LOG_H_

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace laburnumkeel::kernel {

enum class Severity { kInformation, kWarning, kError };

std::string_view ToString(Severity severity);

// A type of log event. Numbers and names are stable across releases.
struct EventDefinition {
  int number;
  Severity severity;
  std::string_view name;
  std::string_view meaning;
};

// A named value of an event.
class EventField {
 public:
  EventField(std::string_view name, std::string_view value)
      : name(name), value(value) {}
  EventField(std::string_view name, const char* value)
      : name(name), value(value) {}
  EventField(std::string_view name, const std::string& value)
      : name(name), value(value) {}
  EventField(std::string_view name, bool value)
      : name(name), value(value ? "true" : "false") {}
  template <class Number>
  requires((std::integral<Number> ||
            std::floating_point<Number>)&&!std::same_as<Number, bool>)
      EventField(std::string_view name, Number value)
      : name(name), value(std::to_string(value)) {}

  std::string_view Name() const { return this->name; }
  std::string_view Value() const { return this->value; }

 private:
  std::string name;
  std::string value;
};

// Formats the event as `event=<number> name=<name> <field>=<value> ...`. Empty
// values and values with a space, quote, backslash, equals sign or control
// character are quoted and escaped, so that client input cannot forge fields or
// lines.
std::string FormatEvent(const EventDefinition& definition,
                        std::initializer_list<EventField> fields);

// Writes the event to the log of the process.
void LogEvent(const EventDefinition& definition,
              std::initializer_list<EventField> fields);

}  // namespace laburnumkeel::kernel

#endif  // LABURNUMKEEL_KERNEL_EVENT_LOG_H_
