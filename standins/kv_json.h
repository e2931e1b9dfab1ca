// Server-side conversion of the JSON API of etcd v3 (gRPC gateway).
#ifndef STANDINS_KV_JSON_H_
#define STANDINS_KV_JSON_H_

#include <string>

#include <nlohmann/json.hpp>

#include "jaypick/key_value_store.h"
#include "standins/store.h"

namespace jaypick::standin {

// Each parser throws `std::exception` if `json` is not a valid request. The
// code is independent of the client's conversion, so that tests detect an error
// in either of them.
RangeRequest ParseRangeRequest(const nlohmann::json& json);
PutRequest ParsePutRequest(const nlohmann::json& json);
TxnRequest ParseTxnRequest(const nlohmann::json& json);
Duration ParseLeaseGrantRequest(const nlohmann::json& json);

// Responses as the gRPC gateway writes them: fields with default values are
// omitted.
nlohmann::json ToJson(const RangeResult& result);
nlohmann::json ToJson(const TxnResult& result);
nlohmann::json ToJson(const LeaseResult& result, std::int64_t revision);
nlohmann::json ToJson(const Rejection& rejection);

}  // namespace jaypick::standin

#endif  // STANDINS_KV_JSON_H_
