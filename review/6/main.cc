// A chain of turns is lost, although each of its turns followed the one before
// within retention_s: a storage machine was down for seconds at the second
// turn.

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
  if (hasTrouble()) {
    Fleet.kill("disk-0");
    Record.line("disk-0 killed");
  }
  Fleet.pause(milliseconds(300));
  StepFrom = steadyNow();
  Run.turn(Rows, 2, 0);
  At(1800);
  if (hasTrouble()) {
    Fleet.startMember("disk-0");
    Record.line("disk-0 started again, with its disk");
  }
  // From here on through another zone.
  At(8000);
  Run.turn(Rows, 3, 1);
  At(9500);
  Run.turn(Rows, 4, 1);
  At(60'000);
  Run.turn(Rows, 5, 1);
  At(84'000);
  return judgeLastTurn(Fleet, Record, Run, Rows, 6, hasTrouble() ? 1 : 0);
}
