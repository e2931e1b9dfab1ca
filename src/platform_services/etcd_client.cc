#include "platform_services/etcd_client.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "platform_services/etcd_json.h"

namespace jaypick::platform_services {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kOk = 200;
constexpr int kFirstClientError = 400;
constexpr int kRequestTimeout = 408;
constexpr int kFirstServerError = 500;

// Returns true if `status` means that the request had no effect. Server errors
// do not: etcd also responds with 503 if a proposal timed out that may still be
// applied.
bool IsRefusal(int status) {
  return status >= kFirstClientError && status < kFirstServerError &&
         status != kRequestTimeout;
}

StoreError ToError(const http::Response& response) {
  const auto message = ParseErrorResponse(response.body);
  if (IsRefusal(response.status) && message) {
    return {StoreErrorCode::kRejected, *message};
  }
  if (response.status == kOk) {
    return {StoreErrorCode::kOutcomeUnknown, "response is not valid"};
  }
  std::string text = "status " + std::to_string(response.status);
  if (message) {
    text += ": " + *message;
  }
  return {StoreErrorCode::kOutcomeUnknown, std::move(text)};
}

}  // namespace

class EtcdClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(http::Client* client, EtcdClientOptions options)
      : client_(client), options_(std::move(options)) {}

  // `parse` converts a response body to `std::optional<Value>`.
  template <typename Value, typename Parse>
  void Call(std::string path,
            std::string body,
            Parse parse,
            StoreCallback<Value> callback) {
    http::Request request;
    request.method = http::Method::kPost;
    request.path = std::move(path);
    request.headers = {{"Content-Type", "application/json"}};
    request.body = std::move(body);
    Try<Value>(std::move(request), 0, Clock::now() + options_.timeout,
               std::move(parse), std::move(callback));
  }

 private:
  template <typename Value, typename Parse>
  void Try(http::Request request,
           std::size_t failed_tries,
           Clock::time_point deadline,
           Parse parse,
           StoreCallback<Value> callback) {
    const std::size_t endpoint = next_endpoint_ % options_.endpoints.size();
    const auto remaining = std::chrono::ceil<Duration>(deadline - Clock::now());
    http::Request copy = request;
    client_->Send(
        options_.endpoints[endpoint], std::move(copy), remaining,
        [weak = weak_from_this(), request = std::move(request), failed_tries,
         deadline, endpoint, parse = std::move(parse),
         callback = std::move(callback)](http::ClientResult result) mutable {
          const auto self = weak.lock();
          if (!self) {
            return;
          }
          if (const auto* error = std::get_if<http::ClientError>(&result)) {
            self->AdvanceFrom(endpoint);
            const bool should_retry =
                error->not_sent &&
                failed_tries + 1 < self->options_.endpoints.size() &&
                Clock::now() < deadline;
            if (should_retry) {
              return self->Try<Value>(std::move(request), failed_tries + 1,
                                      deadline, std::move(parse),
                                      std::move(callback));
            }
            return callback(StoreError{error->not_sent
                                           ? StoreErrorCode::kNotSent
                                           : StoreErrorCode::kOutcomeUnknown,
                                       error->message});
          }
          self->Finish<Value>(std::get<http::Response>(result), endpoint, parse,
                              callback);
        });
  }

  template <typename Value, typename Parse>
  void Finish(const http::Response& response,
              std::size_t endpoint,
              const Parse& parse,
              const StoreCallback<Value>& callback) {
    std::optional<Value> value;
    if (response.status == kOk) {
      value = parse(response.body);
    }
    if (value) {
      return callback(std::move(*value));
    }
    const StoreError error = ToError(response);
    if (error.kind != StoreErrorCode::kRejected) {
      AdvanceFrom(endpoint);
    }
    callback(error);
  }

  // Concurrent calls to one endpoint usually fail together. Only the first of
  // them advances, so that no endpoint is skipped.
  void AdvanceFrom(std::size_t endpoint) {
    if (next_endpoint_ == endpoint) {
      next_endpoint_ = (endpoint + 1) % options_.endpoints.size();
    }
  }

  http::Client* client_;
  EtcdClientOptions options_;
  std::size_t next_endpoint_ = 0;
};

EtcdClient::EtcdClient(http::Client* client, EtcdClientOptions options)
    : impl_(std::make_shared<Impl>(client, std::move(options))) {}

EtcdClient::~EtcdClient() = default;

void EtcdClient::Range(RangeRequest request,
                       StoreCallback<RangeResult> callback) {
  impl_->Call<RangeResult>("/v3/kv/range", WriteRangeRequest(request),
                           ParseRangeResponse, std::move(callback));
}

void EtcdClient::Txn(TxnRequest request, StoreCallback<TxnResult> callback) {
  std::string body = WriteTxnRequest(request);
  const auto parse = [request = std::move(request)](std::string_view text) {
    return ParseTxnResponse(text, request);
  };
  impl_->Call<TxnResult>("/v3/kv/txn", std::move(body), parse,
                         std::move(callback));
}

void EtcdClient::GrantLease(Duration time_to_live,
                            StoreCallback<LeaseResult> callback) {
  impl_->Call<LeaseResult>("/v3/lease/grant",
                           WriteLeaseGrantRequest(time_to_live),
                           ParseLeaseGrantResponse, std::move(callback));
}

}  // namespace jaypick::platform_services
