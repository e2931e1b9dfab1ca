#include "platform_services/instance_list_client.h"

#include <cstddef>
#include <utility>

#include "platform_services/instance_list_json.h"

namespace jaypick::platform_services {
namespace {

constexpr int kOk = 200;
constexpr int kNotModified = 304;
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
    if (!entity_tag_.empty()) {
      request.headers.push_back(
          {.name = "If-None-Match", .value = entity_tag_});
    }
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
    if (IsUnchanged(response)) {
      callback(last_list_);
      return;
    }
    auto result = ToResult(response);
    if (std::holds_alternative<InstanceListError>(result)) {
      next_endpoint_ = (next_endpoint_ + 1) % options_.endpoints.size();
    } else {
      Remember(std::get<InstanceList>(result),
               std::get<http::Response>(response));
    }
    callback(std::move(result));
  }

  bool IsUnchanged(const http::ClientResult& result) const {
    const auto* const response = std::get_if<http::Response>(&result);
    return response != nullptr && response->status == kNotModified &&
           !entity_tag_.empty();
  }

  void Remember(const InstanceList& list, const http::Response& response) {
    const auto tag = http::FindHeader(response.headers, "ETag");
    entity_tag_ = tag.value_or("");
    last_list_ = list;
  }

  http::Client* client_;
  InstanceListClientOptions options_;
  std::size_t next_endpoint_ = 0;
  // Tag of the last valid list; empty if the service sends no tags.
  std::string entity_tag_;
  InstanceList last_list_;
};

InstanceListClient::InstanceListClient(http::Client* client,
                                       InstanceListClientOptions options)
    : impl_(std::make_shared<Impl>(client, std::move(options))) {}

InstanceListClient::~InstanceListClient() = default;

void InstanceListClient::Fetch(InstanceListCallback callback) {
  impl_->Fetch(std::move(callback));
}

}  // namespace jaypick::platform_services
