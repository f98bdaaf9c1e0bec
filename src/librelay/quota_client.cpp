#include "turmerichead/relay_quota_client.h"

#include "turmerichead/log.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace turmerichead::relay {

struct quota_client::pending {
  quota_question Question;
  std::vector<std::string> Asked;
  time_point WaitsUntil; ///< Boot clock.
  std::function<void(const quota_result &)> Done;
};

void quota_client::ask(quota_question Question,
                       std::function<void(const quota_result &)> Done) {
  Tokens.setLimit(Question.Organisation, Question.Limit);
  Tokens.recordDemand(Question.Organisation, bootNow());
  auto Pending = std::make_shared<pending>();
  Pending->WaitsUntil = bootNow() + Question.MaxWait;
  Pending->Question = std::move(Question);
  Pending->Done = std::move(Done);
  askNext(Pending);
}

void quota_client::askNext(const std::shared_ptr<pending> &Pending) {
  const quota_question &Question = Pending->Question;
  // The steady clock stops while the machine is suspended, and tokens that are
  // held would outlive it.
  time_point Now = bootNow();
  if (Tokens.takeHeld(Question.Organisation, Now)) {
    Pending->Done({quota_outcome::Granted, milliseconds(0)});
    return;
  }
  auto Member = Tokens.pick(Question.Organisation, Question.StartsProgram,
                            Question.Members, Pending->Asked, Now);
  if (!Member) {
    decide(Pending, Now);
    return;
  }
  Pending->Asked.push_back(*Member);
  quota_request Request = Tokens.requestFor(Question.Organisation, *Member,
                                            Question.StartsProgram, Now);
  Requests.send<quota_reply>(
      *Member, Path, Request,
      [this, Pending, Request, Member = *Member,
       SentAt = Now](const std::optional<quota_reply> &Reply) {
        if (!Reply) {
          log::info(
              "no reply to a request for tokens",
              {{"disk_host", Member}, {"organisation", Request.Organisation}});
          Tokens.recordFailure(Member, Request, bootNow());
          askNext(Pending);
          return;
        }
        if (Tokens.recordReply(Member, Request, *Reply, SentAt, bootNow()))
          Pending->Done({quota_outcome::Granted, milliseconds(0)});
        else
          askNext(Pending);
      });
}

void quota_client::decide(const std::shared_ptr<pending> &Pending,
                          time_point Now) {
  const quota_question &Question = Pending->Question;
  quota_result Result =
      Tokens.decide(Question.Organisation, Question.StartsProgram,
                    Question.Members, Question.Hosts, Now);
  bool Waits = Result.Outcome != quota_outcome::Granted &&
               Now + Result.RetryAfter <= Pending->WaitsUntil;
  if (!Waits) {
    Pending->Done(Result);
    return;
  }
  Pending->Asked.clear();
  Requests.after(Result.RetryAfter, [this, Pending] { askNext(Pending); });
}

void quota_server::updateSet(const turns::disk_set &Set,
                             std::string_view Self) {
  std::vector<turns::disk_host> Members = Set.allMembers();
  bool IsMember = turns::hasAddress(Members, Self);
  Issuer.setMembers(IsMember ? Members.size() : 0, bootNow());
}

void quota_server::serve(peer_server &Server,
                         const peer_request_view &Request) {
  auto Message = unpack<quota_request>(Request.Body);
  if (!Message || !std::isfinite(Message->PerSecond) ||
      !std::isfinite(Message->Burst)) {
    Server.end(Request.Reply, {error_code::Corrupt, "not a quota request"});
    return;
  }
  if (!Issuer.isMember()) {
    Server.end(Request.Reply, {error_code::NotFound, "not in the disk set"});
    return;
  }
  Server.write(Request.Reply, pack(Issuer.issue(*Message, bootNow())));
  Server.end(Request.Reply, {});
}

} // namespace turmerichead::relay
