// A chain of turns is lost with one disk: after retention_s its first turn, which
// was stored on two, is left on one of them, although the chain is in use.

#include "lines-2.hh"

using namespace review;

int main(int Count, char **Arguments) {
  if (Count < 3)
    return CannotRun;
  scratch Scratch;
  record Record(Arguments[2]);
  fleet_settings Settings = settingsFor(Arguments[1], Scratch.Path);
  Settings.Runners = Runners;
  Settings.Site = smallShape(Settings);
  Settings.Site->Services[0].Slots = Slots;
  fleet Fleet(Settings);
  if (!Fleet.start()) {
    Record.line("the deployment does not start: " + lastError().Text);
    return CannotRun;
  }
  Record.line("all processes run");
  std::vector<line_of_turns> Rows(Lines);
  for (int I = 0; I < Lines; ++I) {
    Rows[static_cast<std::size_t>(I)].Program = "p" + std::to_string(I);
    Rows[static_cast<std::size_t>(I)].Zone = I % 3;
  }
  run Run(Fleet, Record);
  auto StepFrom = steadyNow();
  auto At = [&](int Ms) {
    Fleet.wait(milliseconds(120'000),
               [&] { return steadyNow() >= StepFrom + milliseconds(Ms); });
  };
  Run.turn(Rows, 1, 0);
  StepFrom = steadyNow();
  // From here on through another zone.
  At(3000);
  Run.turn(Rows, 2, 1);
  At(60'000);
  Run.turn(Rows, 3, 1);
  At(76'500);
  if (hasTrouble()) {
    Fleet.wipe("disk-0");
    Record.line("disk-0 killed, its disk is lost");
  }
  At(78'500);
  if (hasTrouble()) {
    Fleet.startMember("disk-0");
    Record.line("disk-0 started again, with an empty disk");
  }
  At(85'500);
  return judgeLastTurn(Fleet, Record, Run, Rows, 4, hasTrouble() ? 1 : 0);
}
