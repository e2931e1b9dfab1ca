#include "standins/instances_service.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace jaypick::standin {
namespace {

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kNotFoundStatus = 404;

// Number of versions kept for `lag_ms` and `back`.
constexpr std::size_t kMaxVersions = 1000;

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
  AddVersion(Json::array());
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
  const Json& list = VisibleList();
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

const Json& InstancesService::VisibleList() const {
  const TimePoint visible_time = MonotonicNow() - lag_;
  std::size_t index = versions_.size() - 1;
  while (index > 0 && versions_[index].since > visible_time) {
    --index;
  }
  return versions_[index - std::min(index, revisions_back_)].list;
}

Json InstancesService::CurrentInstances() const {
  return versions_.back().list["instances"];
}

void InstancesService::AddVersion(Json instances) {
  ++revision_;
  Json list = {{"revision", revision_}, {"instances", std::move(instances)}};
  versions_.push_back({.since = MonotonicNow(), .list = std::move(list)});
  if (versions_.size() > kMaxVersions) {
    versions_.pop_front();
  }
}

void InstancesService::Put(const Json& instance) {
  Json instances = CurrentInstances();
  const Json& name = instance.at("name");
  const auto it = std::ranges::find_if(instances, [&](const Json& candidate) {
    return candidate["name"] == name;
  });
  if (it != instances.end()) {
    it->update(instance);
  } else {
    Json added = {{"generation", 1}, {"state", "live"}};
    added.update(instance);
    instances.push_back(std::move(added));
  }
  AddVersion(std::move(instances));
}

void InstancesService::Remove(const std::string& name) {
  Json instances = Json::array();
  for (Json& instance : CurrentInstances()) {
    if (instance["name"] != name) {
      instances.push_back(std::move(instance));
    }
  }
  AddVersion(std::move(instances));
}

void InstancesService::SetFaults(const Json& body) {
  silent_ = body.value("silent", silent_);
  garbage_ = body.value("garbage", garbage_);
  revisions_back_ = body.value("back", revisions_back_);
  lag_ = std::chrono::milliseconds(body.value("lag_ms", ToMilliseconds(lag_)));
  if (body.contains("down")) {
    server_.SetListening(!body["down"].get<bool>());
  }
}

std::optional<Json> InstancesService::Control(const std::string& path,
                                              const Json& body) {
  if (path == "/set") {
    AddVersion(body.at("instances"));
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
