#include "standins/kv_service.h"

#include <exception>
#include <utility>

#include "standins/kv_json.h"

namespace jaypick::standin {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequestStatus = 400;
constexpr int kNotFoundStatus = 404;
constexpr int kUnavailableStatus = 503;

constexpr std::string_view kGarbage = "\x01\x02 this is not HTTP\r\n\r\n";

// Returns the HTTP status that the gateway uses for the gRPC status code.
int StatusOf(const Rejection& rejection) {
  switch (rejection.code) {
    case kNotFound:
      return kNotFoundStatus;
    case kUnavailable:
      return kUnavailableStatus;
    default:
      return kBadRequestStatus;
  }
}

http::Response ToResponse(const Rejection& rejection) {
  return JsonResponse(StatusOf(rejection), ToJson(rejection));
}

template <typename Value>
http::Response ToResponse(const StoreOutcome<Value>& outcome) {
  if (const auto* rejection = std::get_if<Rejection>(&outcome)) {
    return ToResponse(*rejection);
  }
  return JsonResponse(kOk, ToJson(std::get<Value>(outcome)));
}

// Decrements `count` if it is positive; returns whether it was.
bool Consume(std::uint32_t& count) {
  if (count == 0) {
    return false;
  }
  --count;
  return true;
}

}  // namespace

KvService::KvService(event_base* base, KvServiceOptions options)
    : base_(base),
      clock_(std::move(options.clock)),
      server_(base,
              options.port,
              [this](const WireRequest& request, Exchange exchange) {
                Handle(request, exchange);
              }),
      control_(
          base,
          options.control_port,
          ControlHandler([this](const std::string& path, const Json& body) {
            return Control(path, body);
          })) {}

void KvService::Handle(const WireRequest& request, const Exchange& exchange) {
  ++calls_;
  if (faults_.silent) {
    return;
  }
  if (faults_.delay == Duration{0}) {
    return ProcessRequest(request, exchange);
  }
  // A delayed call takes effect even if its client has timed out by then.
  RunAfter(base_, faults_.delay,
           [this, request, exchange] { ProcessRequest(request, exchange); });
}

void KvService::ProcessRequest(const WireRequest& request,
                               const Exchange& exchange) {
  if (Consume(faults_.lose_requests)) {
    return exchange.Reset();
  }
  if (Consume(faults_.reject)) {
    return exchange.Send(ToResponse(Rejection{kInvalidArgument, "refused"}));
  }
  store_.AdvanceTo(clock_());
  const http::Response response = Execute(request.path, request.body);
  if (Consume(faults_.lose_answers)) {
    return exchange.Reset();
  }
  if (Consume(faults_.unavailable)) {
    return exchange.Send(
        ToResponse(Rejection{kUnavailable, "etcdserver: request timed out"}));
  }
  if (Consume(faults_.garbage)) {
    return exchange.SendRaw(kGarbage);
  }
  if (Consume(faults_.half)) {
    return exchange.SendHalf(response);
  }
  exchange.Send(response);
}

http::Response KvService::Execute(const std::string& path,
                                  const std::string& body) try {
  const Json json = Json::parse(body);
  if (path == "/v3/kv/range") {
    return ToResponse(store_.Range(ParseRangeRequest(json)));
  }
  if (path == "/v3/kv/txn") {
    return ToResponse(store_.Txn(ParseTxnRequest(json)));
  }
  if (path == "/v3/kv/put") {
    const auto outcome = store_.Txn(
        {.conditions = {}, .success = {ParsePutRequest(json)}, .failure = {}});
    if (const auto* rejection = std::get_if<Rejection>(&outcome)) {
      return ToResponse(*rejection);
    }
    return JsonResponse(
        kOk, ToJson(RangeResult{.revision = store_.revision(), .values = {}}));
  }
  if (path == "/v3/lease/grant") {
    const auto outcome = store_.GrantLease(ParseLeaseGrantRequest(json));
    return JsonResponse(
        kOk, ToJson(std::get<LeaseResult>(outcome), store_.revision()));
  }
  return ToResponse(Rejection{kNotFound, "Not Found"});
} catch (const std::exception& error) {
  return ToResponse(Rejection{kInvalidArgument, error.what()});
}

void KvService::SetFaults(const Json& body) {
  faults_.silent = body.value("silent", faults_.silent);
  faults_.delay = std::chrono::milliseconds(
      body.value("delay_ms", ToMilliseconds(faults_.delay)));
  faults_.lose_answers = body.value("lose_answers", faults_.lose_answers);
  faults_.lose_requests = body.value("lose_requests", faults_.lose_requests);
  faults_.reject = body.value("reject", faults_.reject);
  faults_.unavailable = body.value("unavailable", faults_.unavailable);
  faults_.garbage = body.value("garbage", faults_.garbage);
  faults_.half = body.value("half", faults_.half);
  if (body.contains("down")) {
    server_.SetListening(!body["down"].get<bool>());
  }
}

std::optional<Json> KvService::Control(const std::string& path,
                                       const Json& body) {
  if (path == "/fault") {
    SetFaults(body);
  } else if (path == "/snapshot") {
    snapshot_ = store_;
  } else if (path == "/rollback") {
    store_ = snapshot_;
  } else if (path != "/stats") {
    return std::nullopt;
  }
  return Json{{"calls", calls_}, {"revision", store_.revision()}};
}

}  // namespace jaypick::standin
