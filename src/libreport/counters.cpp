#include "turmerichead/report.h"

#include <algorithm>

namespace turmerichead {

void entry_counters::add(const entry_counters &Other) {
  ProgramsAccepted += Other.ProgramsAccepted;
  ProgramsRefused += Other.ProgramsRefused;
  ProgramsFinished += Other.ProgramsFinished;
  FinishedInTime += Other.FinishedInTime;
  OverLimit += Other.OverLimit;
  CallsAnswered += Other.CallsAnswered;
  CallsFailed += Other.CallsFailed;
  OutcomeUnknown += Other.OutcomeUnknown;
  AnswersLost += Other.AnswersLost;
  AnswersDoubled += Other.AnswersDoubled;
  AnswersMisdirected += Other.AnswersMisdirected;
  OutOfOrder += Other.OutOfOrder;
  for (const auto &[Reason, Count] : Other.RefusedBy)
    RefusedBy[Reason] += Count;
}

bool entry_counters::broken() const {
  return AnswersLost > 0 || AnswersDoubled > 0 || AnswersMisdirected > 0 ||
         OutOfOrder > 0;
}

host_report deltaOf(const host_report &Before, const host_report &After) {
  host_report Delta = After;
  std::erase_if(Delta.Entries, [&Before](const entry_report &Row) {
    return std::find(Before.Entries.begin(), Before.Entries.end(), Row) !=
           Before.Entries.end();
  });
  // These lists never become empty again, so an empty one is "as before".
  if (Delta.Changes == Before.Changes)
    Delta.Changes.clear();
  if (Delta.Repairs == Before.Repairs)
    Delta.Repairs.clear();
  return Delta;
}

void applyDelta(host_report &Base, const host_report &Delta) {
  host_report Next = Delta;
  if (Next.Changes.empty())
    Next.Changes = std::move(Base.Changes);
  if (Next.Repairs.empty())
    Next.Repairs = std::move(Base.Repairs);
  Next.Entries = std::move(Base.Entries);
  for (const entry_report &Row : Delta.Entries) {
    auto Place = std::lower_bound(
        Next.Entries.begin(), Next.Entries.end(), Row,
        [](const entry_report &Left, const entry_report &Right) {
          return Left.Entry < Right.Entry;
        });
    if (Place != Next.Entries.end() && Place->Entry == Row.Entry)
      *Place = Row;
    else
      Next.Entries.insert(Place, Row);
  }
  Base = std::move(Next);
}

} // namespace turmerichead
