#include "standins/instances_service.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace jaypick::standin {
namespace {

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kNotFoundStatus = 404;

// Versions kept for `lag_ms` and `back`.
constexpr std::size_t kHistory = 1000;

constexpr std::string_view kGarbage = "\x01\x02 this is not HTTP\r\n\r\n";

}  // namespace

InstancesService::InstancesService(event_base* base,
                                   InstancesServiceOptions options)
    : server_(base,
              options.port,
              [this](const WireRequest& request, Exchange exchange) {
                Handle(request, exchange);
              }),
      control_(
          base,
          options.control_port,
          ControlHandler([this](const std::string& path, const Json& body) {
            return Control(path, body);
          })) {
  Commit(Json::array());
}

void InstancesService::Handle(const WireRequest& request,
                              const Exchange& exchange) {
  ++reads_;
  if (silent_) {
    return;
  }
  if (garbage_) {
    return exchange.SendRaw(kGarbage);
  }
  if (request.path != "/v1/instances") {
    return exchange.Send(JsonResponse(kNotFoundStatus, Json::object()));
  }
  const Json& list = Visible();
  const std::string tag = '"' + list["revision"].dump() + '"';
  if (http::FindHeader(request.headers, "If-None-Match") == tag) {
    http::Response unchanged;
    unchanged.status = kNotModified;
    return exchange.Send(unchanged);
  }
  ++lists_sent_;
  http::Response response = JsonResponse(kOk, list);
  response.headers.push_back({.name = "ETag", .value = tag});
  exchange.Send(response);
}

const Json& InstancesService::Visible() const {
  const TimePoint visible_until = MonotonicNow() - lag_;
  std::size_t index = versions_.size() - 1;
  while (index > 0 && versions_[index].since > visible_until) {
    --index;
  }
  return versions_[index - std::min(index, back_)].list;
}

Json InstancesService::Current() const {
  return versions_.back().list["instances"];
}

void InstancesService::Commit(Json instances) {
  ++revision_;
  Json list = {{"revision", revision_}, {"instances", std::move(instances)}};
  versions_.push_back({.since = MonotonicNow(), .list = std::move(list)});
  if (versions_.size() > kHistory) {
    versions_.pop_front();
  }
}

void InstancesService::Put(const Json& instance) {
  Json instances = Current();
  const Json& name = instance.at("name");
  const auto it = std::ranges::find_if(
      instances, [&](const Json& known) { return known["name"] == name; });
  if (it != instances.end()) {
    it->update(instance);
  } else {
    Json added = {{"generation", 1}, {"state", "live"}};
    added.update(instance);
    instances.push_back(std::move(added));
  }
  Commit(std::move(instances));
}

void InstancesService::Remove(const std::string& name) {
  Json instances = Json::array();
  for (Json& instance : Current()) {
    if (instance["name"] != name) {
      instances.push_back(std::move(instance));
    }
  }
  Commit(std::move(instances));
}

void InstancesService::SetFaults(const Json& body) {
  silent_ = body.value("silent", silent_);
  garbage_ = body.value("garbage", garbage_);
  back_ = body.value("back", back_);
  lag_ = std::chrono::milliseconds(body.value("lag_ms", ToMilliseconds(lag_)));
  if (body.contains("down")) {
    server_.SetListening(!body["down"].get<bool>());
  }
}

std::optional<Json> InstancesService::Control(const std::string& path,
                                              const Json& body) {
  if (path == "/set") {
    Commit(body.at("instances"));
  } else if (path == "/put") {
    Put(body);
  } else if (path == "/remove") {
    Remove(body.at("name").get<std::string>());
  } else if (path == "/fault") {
    SetFaults(body);
  } else if (path != "/stats") {
    return std::nullopt;
  }
  return Json{
      {"reads", reads_}, {"lists_sent", lists_sent_}, {"revision", revision_}};
}

}  // namespace jaypick::standin
