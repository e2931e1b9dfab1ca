#include "standins/store.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace jaypick::standin {
namespace {

constexpr std::int64_t kLeaseIdBase = 7587'000'000;

Rejection EmptyKeyRejection() {
  return {kInvalidArgument, "etcdserver: key is not provided"};
}

// True if `operation` can change the store.
bool IsWrite(const StoreOperation& operation) {
  return !std::holds_alternative<RangeRequest>(operation);
}

const std::string& KeyOf(const StoreOperation& operation) {
  return std::visit(
      [](const auto& request) -> const std::string& { return request.key; },
      operation);
}

}  // namespace

void Store::AdvanceTo(TimePoint now) {
  now_ = std::max(now_, now);
  std::vector<std::int64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.expiry <= now_) {
      expired.push_back(id);
    }
  }
  for (const std::int64_t id : expired) {
    Expire(id);
  }
}

void Store::Expire(std::int64_t lease) {
  leases_.erase(lease);
  const std::size_t erased = std::erase_if(
      values_, [&](const auto& entry) { return entry.second.lease == lease; });
  if (erased != 0) {
    ++revision_;
  }
}

StoreOutcome<RangeResult> Store::Range(const RangeRequest& request) const {
  if (request.key.empty()) {
    return EmptyKeyRejection();
  }
  return Read(request, revision_);
}

RangeResult Store::Read(const RangeRequest& request,
                        std::int64_t revision) const {
  RangeResult result{.revision = revision, .values = {}, .more = false};
  auto it = values_.lower_bound(request.key);
  for (; it != values_.end(); ++it) {
    const bool matches = request.range_end.empty()
                             ? it->first == request.key
                             : it->first < request.range_end;
    if (!matches) {
      break;
    }
    result.values.push_back(it->second);
  }
  if (request.descending) {
    std::ranges::reverse(result.values);
  }
  const auto limit = static_cast<std::size_t>(request.limit);
  if (request.limit > 0 && result.values.size() > limit) {
    result.values.resize(limit);
    result.more = true;
  }
  if (request.keys_only) {
    for (KeyValue& value : result.values) {
      value.value.clear();
    }
  }
  return result;
}

bool Store::Holds(const Condition& condition) const {
  const auto value_of = [&](const std::string& key) {
    const auto it = values_.find(key);
    return it == values_.end() ? KeyValue{} : it->second;
  };
  if (const auto* mod = std::get_if<ModRevisionIs>(&condition)) {
    return value_of(mod->key).mod_revision == mod->revision;
  }
  const auto& create = std::get<CreateRevisionIs>(condition);
  return value_of(create.key).create_revision == create.revision;
}

std::vector<Rejection> Store::Validate(
    const std::vector<StoreOperation>& operations) const {
  if (operations.size() > kOperationLimit) {
    return {
        {kInvalidArgument, "etcdserver: too many operations in txn request"}};
  }
  std::set<std::string> written;
  for (const StoreOperation& operation : operations) {
    if (KeyOf(operation).empty()) {
      return {EmptyKeyRejection()};
    }
    if (IsWrite(operation) && !written.insert(KeyOf(operation)).second) {
      return {
          {kInvalidArgument, "etcdserver: duplicate key given in txn request"}};
    }
    const auto* put = std::get_if<PutRequest>(&operation);
    if (put != nullptr && put->value.size() > kValueLimitBytes) {
      return {{kInvalidArgument, "etcdserver: request is too large"}};
    }
  }
  return {};
}

StoreOutcome<TxnResult> Store::Txn(const TxnRequest& request) {
  for (const auto* branch : {&request.success, &request.failure}) {
    if (const auto rejections = Validate(*branch); !rejections.empty()) {
      return rejections.front();
    }
  }
  TxnResult result;
  result.succeeded = std::ranges::all_of(
      request.conditions, [&](const Condition& c) { return Holds(c); });
  const auto& operations = result.succeeded ? request.success : request.failure;
  // Like etcd, checks leases only in the branch that is executed.
  for (const StoreOperation& operation : operations) {
    const auto* put = std::get_if<PutRequest>(&operation);
    if (put != nullptr && put->lease != 0 && !leases_.contains(put->lease)) {
      return Rejection{kNotFound, "etcdserver: requested lease not found"};
    }
  }
  const std::int64_t next = revision_ + 1;
  bool changed = false;
  for (const StoreOperation& operation : operations) {
    if (const auto* range = std::get_if<RangeRequest>(&operation)) {
      result.results.emplace_back(Read(*range, changed ? next : revision_));
    } else if (const auto* put = std::get_if<PutRequest>(&operation)) {
      Write(*put, next);
      changed = true;
      result.results.emplace_back(PutResult{});
    } else {
      const auto erased = static_cast<std::int64_t>(
          values_.erase(std::get<DeleteRequest>(operation).key));
      changed = changed || erased != 0;
      result.results.emplace_back(DeleteResult{.deleted = erased});
    }
  }
  revision_ = changed ? next : revision_;
  result.revision = revision_;
  return result;
}

void Store::Write(const PutRequest& request, std::int64_t revision) {
  KeyValue& value = values_[request.key];
  if (value.create_revision == 0) {
    value.create_revision = revision;
  }
  value.key = request.key;
  value.value = request.value;
  value.mod_revision = revision;
  value.lease = request.lease;
}

StoreOutcome<LeaseResult> Store::GrantLease(Duration time_to_live) {
  const auto seconds =
      std::max(std::chrono::ceil<std::chrono::seconds>(time_to_live),
               std::chrono::seconds(1));
  ++last_lease_;
  const std::int64_t id = kLeaseIdBase + last_lease_;
  leases_[id] = {.expiry = now_ + seconds};
  return LeaseResult{.lease = id, .time_to_live = seconds};
}

}  // namespace jaypick::standin
