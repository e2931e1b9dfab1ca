// JSON form of the etcd v3 API, as defined by its gRPC gateway.
//
// Keys and values are base64, 64-bit integers are strings, and responses omit
// fields that have their default value.
#ifndef JAYPICK_PLATFORM_SERVICES_ETCD_JSON_H_
#define JAYPICK_PLATFORM_SERVICES_ETCD_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "jaypick/key_value_store.h"

namespace jaypick::platform_services {

// Write the bodies of requests.
std::string WriteRangeRequest(const RangeRequest& request);
std::string WriteTxnRequest(const TxnRequest& request);
std::string WriteLeaseGrantRequest(Duration time_to_live);

// Parse the bodies of responses. Each returns nothing if `text` is not valid.
std::optional<RangeResult> ParseRangeResponse(std::string_view text);
// `request` determines which operation results the response must contain.
std::optional<TxnResult> ParseTxnResponse(std::string_view text,
                                          const TxnRequest& request);
std::optional<LeaseResult> ParseLeaseGrantResponse(std::string_view text);

// Returns the message of an error response, or nothing if `text` is not one.
std::optional<std::string> ParseErrorResponse(std::string_view text);

}  // namespace jaypick::platform_services

#endif  // JAYPICK_PLATFORM_SERVICES_ETCD_JSON_H_
