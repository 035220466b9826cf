#include "laburnumkeel/kernel/event_log.h"

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace laburnumkeel::kernel {

namespace {

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
           return static_cast<unsigned char>(c) <= ' ' || c == '"' ||
                  c == '=' || c == '\\' || c == '\x7f';
         });
}

void AppendEscaped(std::string& line, char c) {
  if (c == '"' || c == '\\') {
    line += '\\';
    line += c;
    return;
  }
  if (static_cast<unsigned char>(c) < ' ' || c == '\x7f') {
    std::array<char, 5> code{};
    std::snprintf(code.data(), code.size(), "\\x%02x",
                  static_cast<unsigned char>(c));
    line += code.data();
    return;
  }
  line += c;
}

void AppendValue(std::string& line, std::string_view value) {
  if (!NeedsQuotes(value)) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    AppendEscaped(line, c);
  }
  line += '"';
}

}  // namespace

std::string_view ToString(Severity severity) {
  switch (severity) {
    case Severity::kInformation:
      return "information";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "error";
}

std::string FormatEvent(const EventDefinition& definition,
                        std::initializer_list<EventField> fields) {
  std::string line = "event=" + std::to_string(definition.number) + " name=";
  line += definition.name;
  for (const EventField& field : fields) {
    line += ' ';
    line += field.Name();
    line += '=';
    AppendValue(line, field.Value());
  }
  return line;
}

void LogEvent(const EventDefinition& definition,
              std::initializer_list<EventField> fields) {
  const std::string line = FormatEvent(definition, fields);
  switch (definition.severity) {
    case Severity::kInformation:
      LOG(INFO) << line;
      return;
    case Severity::kWarning:
      LOG(WARNING) << line;
      return;
    case Severity::kError:
      LOG(ERROR) << line;
      return;
  }
}

}  // namespace laburnumkeel::kernel
