#include "commands.h"
#include "turmerichead/file.h"

#include "turmerichead/catalogue.h"
#include "turmerichead/error.h"
#include "turmerichead/settings.h"

#include <iostream>

namespace turmerichead::ctl {

int check(const options &, arguments Files) {
  if (Files.empty()) {
    std::cerr << "usage: turmericheadctl check FILE...\n";
    return BadInput;
  }
  findings Findings;
  for (const std::string &File : Files) {
    auto Text = readWholeFile(File);
    if (!Text) {
      Findings.add({File, 0, 0, ""}, "cannot be read");
      continue;
    }
    bool Checks = looksLikeSettings(*Text)
                      ? host_settings::parse(*Text, File, Findings).has_value()
                      : entriesFromText(*Text, File, Findings).has_value();
    if (Checks)
      std::cout << File << ": good\n";
  }
  std::cerr << Findings.toText();
  return Findings.empty() ? Good : BadInput;
}

int settings(const options &Options, arguments) {
  std::cout << (Options.Markdown ? renderSettingsPage() : renderSettingsHelp());
  return Good;
}

int fields(const options &, arguments) {
  std::cout << renderEntryTable();
  return Good;
}

} // namespace turmerichead::ctl
