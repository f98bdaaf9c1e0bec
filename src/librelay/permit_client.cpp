#include "turmerichead/relay_permit_client.h"

#include "turmerichead/codec.h"
#include "turmerichead/log.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <vector>

namespace turmerichead::relay {

namespace {

// Disk hosts that are asked for one call before the own share is used.
constexpr std::size_t MaxAsked = 2;

limit_message messageOf(const request_limit &Limit, time_point Now) {
  return {true, Limit.PerSecond, (Now - Limit.NamedAt).count()};
}

} // namespace

struct permit_client::question {
  upstream_run Upstream;
  request_limit Limit;
  milliseconds MaxWait{0};
  bool OnlySpare = false;
  std::vector<std::string> DiskHosts;
  std::size_t Hosts = 1;
  std::function<void(const permit_result &)> Done;
  std::size_t Asked = 0; ///< Disk hosts that were asked and did not reply.
};

void permit_client::ask(const upstream_run &Upstream,
                        const request_limit &Limit, const permit_wait &Wait,
                        std::span<const std::string> DiskHosts,
                        std::size_t Hosts,
                        std::function<void(const permit_result &)> Done) {
  auto Question = std::make_shared<question>();
  Question->Upstream = Upstream;
  Question->Limit = Limit;
  Question->MaxWait = Wait.longest();
  Question->OnlySpare = Wait.onlySpare();
  Question->DiskHosts.assign(DiskHosts.begin(), DiskHosts.end());
  Question->Hosts = Hosts;
  Question->Done = std::move(Done);
  askNext(Question);
}

void permit_client::askNext(const std::shared_ptr<question> &Question) {
  time_point Now = steadyNow();
  auto Issuer = Order.pick(Question->Upstream, Question->DiskHosts, Now);
  if (!Issuer || Question->Asked >= MaxAsked) {
    Requests.soon(
        [this, Question] { Question->Done(takeOwnShare(*Question)); });
    return;
  }
  ++Question->Asked;
  permit_request Request{Question->Upstream, messageOf(Question->Limit, Now),
                         Issuer->Position, Question->MaxWait.count(),
                         Question->OnlySpare};
  std::int64_t AgeMs = Request.Limit.AgeMs;
  Requests.send<permit_reply>(
      Issuer->Address, Path, Request,
      [this, Question, AgeMs,
       Address = Issuer->Address](const std::optional<permit_reply> &Reply) {
        if (!Reply) {
          log::info(
              "no reply to a request for a permit",
              {{"disk_host", Address}, {"upstream", Question->Upstream.Id}});
          Order.recordFailure(Address, steadyNow());
          askNext(Question);
          return;
        }
        permit_result Result;
        Result.Granted = Reply->Granted;
        Result.Wait = milliseconds(std::max<std::int64_t>(Reply->WaitMs, 0));
        Result.NextWait =
            milliseconds(std::max<std::int64_t>(Reply->NextWaitMs, 0));
        Result.IssuedBy = Address;
        bool IsOther = !Reply->Limit.IsLimited ||
                       Reply->Limit.PerSecond != Question->Limit.PerSecond;
        if (IsOther && Reply->Limit.AgeMs < AgeMs)
          Result.News = Reply->Limit;
        Question->Done(Result);
      });
}

// Equal shares of all hosts, so that their sum keeps the limit although they
// don't hear each other.
permit_result permit_client::takeOwnShare(const question &Question) {
  double PerSecond =
      pacedRate(Question.Limit.PerSecond) /
      static_cast<double>(std::max<std::size_t>(Question.Hosts, 1));
  request_pacer &Share = OwnShares[Question.Upstream];
  time_point Now = steadyNow();
  auto Wait = Share.take(PerSecond, 0, Question.MaxWait, Now);
  permit_result Result;
  Result.Granted = Wait.has_value();
  Result.NextWait = Share.wait(PerSecond, 0, Now);
  Result.Wait = Wait.value_or(Result.NextWait);
  return Result;
}

void permit_client::tellEnd(const upstream_run &Upstream,
                            std::span<const std::string> DiskHosts) {
  OwnShares.erase(Upstream);
  auto Issuer = Order.pick(Upstream, DiskHosts, steadyNow());
  if (!Issuer)
    return;
  constexpr std::int64_t NoPermit = -1;
  permit_request Request{Upstream, {}, Issuer->Position, NoPermit, false};
  Requests.send<permit_reply>(Issuer->Address, Path, Request,
                              [](const std::optional<permit_reply> &) {});
}

void permit_server::serve(peer_server &Server,
                          const peer_request_view &Request) {
  auto Message = unpack<permit_request>(Request.Body);
  if (!Message || !std::isfinite(Message->Limit.PerSecond)) {
    Server.end(Request.Reply, {error_code::Corrupt, "not a permit request"});
    return;
  }
  Server.write(Request.Reply, pack(Issuer.issue(*Message, steadyNow())));
  Server.end(Request.Reply, {});
}

} // namespace turmerichead::relay
