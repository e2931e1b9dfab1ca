// JSON form of the etcd v3 API, as its gRPC gateway publishes it.
//
// Keys and values are base64, 64-bit integers are strings, and fields that have
// their default value are left out of answers.
#ifndef JAYPICK_PLATFORM_SERVICES_ETCD_JSON_H_
#define JAYPICK_PLATFORM_SERVICES_ETCD_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "jaypick/key_value_store.h"

namespace jaypick::platform_services {

// Bodies of requests.
std::string WriteRangeRequest(const RangeRequest& request);
std::string WriteTxnRequest(const TxnRequest& request);
std::string WriteLeaseGrantRequest(Duration time_to_live);

// Each returns nothing if `text` is not a valid answer.
std::optional<RangeResult> ParseRangeResponse(std::string_view text);
// `request` says which operations the answer must hold.
std::optional<TxnResult> ParseTxnResponse(std::string_view text,
                                          const TxnRequest& request);
std::optional<LeaseResult> ParseLeaseGrantResponse(std::string_view text);

// The message of an error answer, or nothing if `text` is none.
std::optional<std::string> ParseErrorResponse(std::string_view text);

}  // namespace jaypick::platform_services

#endif  // JAYPICK_PLATFORM_SERVICES_ETCD_JSON_H_
