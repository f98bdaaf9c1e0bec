#include "turmerichead/relay_permit_client.h"

#include "turmerichead/codec.h"
#include "turmerichead/log.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <vector>

namespace turmerichead::relay {

namespace {

// A disk host that has not replied after this time is passed over.
constexpr milliseconds ReplyTimeout{200};
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
    std::uint64_t Number = ++NextNumber;
    Pending[Number].Timeout = loop_source::soon([this, Number, Question] {
      Pending.erase(Number);
      Question->Done(takeOwnShare(*Question));
      return false;
    });
    return;
  }
  ++Question->Asked;
  permit_request Request{Question->Upstream, messageOf(Question->Limit, Now),
                         Issuer->Position, Question->MaxWait.count(),
                         Question->OnlySpare};
  std::int64_t AgeMs = Request.Limit.AgeMs;
  send(Issuer->Address, Request,
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
  send(Issuer->Address, Request, [](const std::optional<permit_reply> &) {});
}

void permit_client::send(
    const std::string &Address, const permit_request &Request,
    const std::function<void(const std::optional<permit_reply> &)> &Done) {
  std::uint64_t Number = ++NextNumber;
  auto Reply = std::make_shared<std::optional<permit_reply>>();
  Links.setAddress(Address, Address);
  peer_stream_id Stream =
      Links.send(Address, {std::string(Path), {}, pack(Request)},
                 {[Reply](std::string_view Bytes) {
                    *Reply = unpack<permit_reply>(Bytes);
                  },
                  [this, Number, Reply, Done](const peer_result &) {
                    if (Pending.erase(Number) > 0)
                      Done(*Reply);
                  }});
  Pending[Number] = {
      Stream, loop_source::every(ReplyTimeout, [this, Number, Stream, Done] {
        Links.cancel(Stream);
        Pending.erase(Number);
        Done(std::nullopt);
        return false;
      })};
}

permit_client::~permit_client() {
  for (const auto &[Number, Request] : Pending)
    Links.cancel(Request.Stream);
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
