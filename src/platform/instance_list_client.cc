#include "platform/instance_list_client.h"

#include <cstddef>
#include <utility>

#include "platform/instance_list_json.h"

namespace jaypick::platform {
namespace {

constexpr int kOk = 200;
constexpr std::string_view kSource = "instance list";

std::variant<InstanceList, InstanceListError> ToResult(
    const http::ClientResult& result) {
  if (const auto* error = std::get_if<http::ClientError>(&result)) {
    return InstanceListError{.message = error->message, .findings = {}};
  }
  const auto& response = std::get<http::Response>(result);
  if (response.status != kOk) {
    return InstanceListError{
        .message = "status " + std::to_string(response.status), .findings = {}};
  }
  InstanceListResult parsed = ParseInstanceList(response.body, kSource);
  if (auto* findings = std::get_if<Findings>(&parsed)) {
    return InstanceListError{.message = "list is not valid",
                             .findings = std::move(*findings)};
  }
  return std::get<InstanceList>(std::move(parsed));
}

}  // namespace

class InstanceListClient::Impl
    : public std::enable_shared_from_this<InstanceListClient::Impl> {
 public:
  Impl(http::Client* client, InstanceListClientOptions options)
      : client_(client), options_(std::move(options)) {}

  void Fetch(InstanceListCallback callback) {
    http::Request request;
    request.path = options_.path;
    const Address& address = options_.endpoints[next_endpoint_];
    client_->Send(address, std::move(request), options_.timeout,
                  [weak = weak_from_this(), callback = std::move(callback)](
                      const http::ClientResult& response) {
                    if (const auto self = weak.lock()) {
                      self->Finish(response, callback);
                    }
                  });
  }

 private:
  void Finish(const http::ClientResult& response,
              const InstanceListCallback& callback) {
    auto result = ToResult(response);
    if (std::holds_alternative<InstanceListError>(result)) {
      next_endpoint_ = (next_endpoint_ + 1) % options_.endpoints.size();
    }
    callback(std::move(result));
  }

  http::Client* client_;
  InstanceListClientOptions options_;
  std::size_t next_endpoint_ = 0;
};

InstanceListClient::InstanceListClient(http::Client* client,
                                       InstanceListClientOptions options)
    : impl_(std::make_shared<Impl>(client, std::move(options))) {}

InstanceListClient::~InstanceListClient() = default;

void InstanceListClient::Fetch(InstanceListCallback callback) {
  impl_->Fetch(std::move(callback));
}

}  // namespace jaypick::platform
