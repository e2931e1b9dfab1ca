// Server side of the JSON form of the etcd v3 API.
#ifndef STANDINS_KV_JSON_H_
#define STANDINS_KV_JSON_H_

#include <string>

#include <nlohmann/json.hpp>

#include "jaypick/key_value_store.h"
#include "standins/store.h"

namespace jaypick::standin {

// Each throws `std::exception` if `json` is not a valid request. It is written
// apart from the client's code, so that an error in one of them shows.
RangeRequest ParseRangeRequest(const nlohmann::json& json);
PutRequest ParsePutRequest(const nlohmann::json& json);
TxnRequest ParseTxnRequest(const nlohmann::json& json);
Duration ParseLeaseGrantRequest(const nlohmann::json& json);

// Answers as the gRPC gateway writes them: without default values.
nlohmann::json ToJson(const RangeResult& result);
nlohmann::json ToJson(const TxnResult& result);
nlohmann::json ToJson(const LeaseResult& result, std::int64_t revision);
nlohmann::json ToJson(const Rejection& rejection);

}  // namespace jaypick::standin

#endif  // STANDINS_KV_JSON_H_
