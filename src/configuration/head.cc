#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "jaypick/audit.h"
#include "jaypick/configuration_codec.h"
#include "jaypick/configuration_head.h"

namespace jaypick {
namespace {

constexpr std::size_t kMaxOperationIdLength = 64;

// Reads the head and the audit entry of `version`; together they show whether a
// change was made.
std::vector<StoreOperation> ReadHeadAndAuditEntry(std::uint64_t version) {
  return {RangeRequest{.key = std::string(kHeadKey), .range_end = ""},
          RangeRequest{.key = AuditKey(version), .range_end = ""}};
}

// Head configuration and audit entry as read from the store.
struct HeadState {
  std::optional<Configuration> head;
  // 0 if there is no head.
  std::int64_t mod_revision = 0;
  // The audit entry of the version that the change would get.
  std::optional<AuditEntry> audit;
};

const KeyValue* FirstValue(const OperationResult& result) {
  const auto& values = std::get<RangeResult>(result).values;
  return values.empty() ? nullptr : &values.front();
}

std::string JoinFindings(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    text += (text.empty() ? "" : "; ") + ToString(finding);
  }
  return text;
}

// Decodes the head into `state`. Returns an error message if the stored value
// cannot be decoded.
std::optional<std::string> ParseHead(const OperationResult& result,
                                     HeadState& state) {
  const KeyValue* const value = FirstValue(result);
  if (value == nullptr) {
    return std::nullopt;
  }
  auto decoded = DecodeConfiguration(value->value, value->key);
  if (const auto* const findings = std::get_if<Findings>(&decoded)) {
    return "the stored head configuration cannot be decoded: " +
           JoinFindings(*findings);
  }
  state.head = std::get<Configuration>(std::move(decoded));
  state.mod_revision = value->mod_revision;
  return std::nullopt;
}

// Decodes the audit entry into `state`. Returns an error message if the stored
// value cannot be decoded.
std::optional<std::string> ParseAuditEntry(const OperationResult& result,
                                           HeadState& state) {
  const KeyValue* const value = FirstValue(result);
  if (value == nullptr) {
    return std::nullopt;
  }
  auto decoded = DecodeAuditEntry(value->value, value->key);
  if (const auto* const findings = std::get_if<Findings>(&decoded)) {
    return "a stored audit entry cannot be decoded: " + JoinFindings(*findings);
  }
  state.audit = std::get<AuditEntry>(std::move(decoded));
  return std::nullopt;
}

// Returns the decoded state, or an error message.
std::variant<HeadState, std::string> ParseState(const TxnResult& result) {
  HeadState state;
  if (auto error = ParseHead(result.results.at(0), state)) {
    return std::move(*error);
  }
  if (auto error = ParseAuditEntry(result.results.at(1), state)) {
    return std::move(*error);
  }
  return state;
}

// The current configuration: the head or the one in force at this entry,
// whichever has the greater version. Null if there is neither.
const Configuration* CurrentConfiguration(
    const std::optional<Configuration>& head,
    const std::optional<Configuration>& in_force) {
  const Configuration* const a = head ? &*head : nullptr;
  const Configuration* const b = in_force ? &*in_force : nullptr;
  if (a == nullptr || b == nullptr) {
    return a == nullptr ? b : a;
  }
  return b->version() > a->version() ? b : a;
}

std::uint64_t VersionOf(const Configuration* configuration) {
  return configuration == nullptr ? 0 : configuration->version();
}

ConfigurationDiff DiffFrom(const Configuration* current,
                           const ConfigurationContent& content) {
  return Compare(
      current == nullptr ? ConfigurationContent{} : current->content(),
      content);
}

// One change request: reads the head, then commits or refuses the change.
class ApplyCall : public std::enable_shared_from_this<ApplyCall> {
 public:
  ApplyCall(KeyValueStore* store,
            ConfigurationHead::Options options,
            ChangeRequest request,
            std::optional<Configuration> in_force,
            std::function<void(ChangeResult)> callback)
      : store_(store),
        options_(options),
        request_(std::move(request)),
        in_force_(std::move(in_force)),
        callback_(std::move(callback)),
        // The version that the change gets if it is accepted.
        version_(request_.base_version + 1),
        digest_(ContentDigest(request_.content)) {}

  void Start() {
    store_->Txn({.conditions = {},
                 .success = ReadHeadAndAuditEntry(version_),
                 .failure = {}},
                [self = shared_from_this()](StoreResult<TxnResult> result) {
                  self->OnRead(std::move(result));
                });
  }

 private:
  void OnRead(StoreResult<TxnResult> result) {
    if (const auto* const error = std::get_if<StoreError>(&result)) {
      callback_(ChangeUnavailable{error->message});
      return;
    }
    auto parsed = ParseState(std::get<TxnResult>(result));
    if (auto* const message = std::get_if<std::string>(&parsed)) {
      callback_(ChangeUnavailable{std::move(*message)});
      return;
    }
    state_ = std::get<HeadState>(std::move(parsed));
    if (FinishIfAlreadyAccepted()) {
      return;
    }
    if (VersionOf(CurrentConfiguration(state_.head, in_force_)) !=
        request_.base_version) {
      RefuseStale();
      return;
    }
    PrepareTransaction();
    Commit();
  }

  // Finishes if a change with this operation id was accepted before. The audit
  // entry shows it even after later changes replaced the head.
  bool FinishIfAlreadyAccepted() {
    if (state_.audit && state_.audit->operation_id == request_.operation_id) {
      FinishAlreadyAccepted({.version = state_.audit->version,
                             .author = state_.audit->author,
                             .operation_id = state_.audit->operation_id,
                             .created_unix_ms = state_.audit->created_unix_ms,
                             .digest = state_.audit->digest});
      return true;
    }
    for (const auto* const known : {&state_.head, &in_force_}) {
      if (*known && (*known)->header().operation_id == request_.operation_id) {
        FinishAlreadyAccepted((*known)->header());
        return true;
      }
    }
    return false;
  }

  void FinishAlreadyAccepted(ConfigurationHeader header) {
    if (header.digest == digest_) {
      callback_(ChangeAccepted{std::move(header)});
    } else {
      // Not recorded as a refused change, because the operation id already
      // belongs to an accepted one.
      callback_(OperationIdReused{header.version});
    }
  }

  void PrepareTransaction() {
    const Configuration* const current =
        CurrentConfiguration(state_.head, in_force_);
    const Configuration changed =
        MakeConfiguration({.version = version_,
                           .author = request_.author,
                           .operation_id = request_.operation_id,
                           .created_unix_ms = request_.created_unix_ms,
                           .digest = ""},
                          request_.content);
    header_ = changed.header();
    AuditEntry entry = MakeAuditEntry();
    entry.is_accepted = true;
    entry.version = version_;
    entry.summary = ToText(DiffFrom(current, request_.content));
    transaction_.conditions = {ModRevisionIs{.key = std::string(kHeadKey),
                                             .revision = state_.mod_revision}};
    transaction_.success = {PutRequest{.key = std::string(kHeadKey),
                                       .value = EncodeConfiguration(changed)},
                            PutRequest{.key = AuditKey(version_),
                                       .value = EncodeAuditEntry(entry)}};
    if (version_ > options_.audit_retention) {
      transaction_.success.emplace_back(
          DeleteRequest{AuditKey(version_ - options_.audit_retention)});
    }
    transaction_.failure = ReadHeadAndAuditEntry(version_);
  }

  void Commit() {
    ++attempts_;
    store_->Txn(transaction_,
                [self = shared_from_this()](StoreResult<TxnResult> result) {
                  self->OnCommitted(std::move(result));
                });
  }

  void OnCommitted(StoreResult<TxnResult> result) {
    if (const auto* const error = std::get_if<StoreError>(&result)) {
      OnCommitError(*error);
      return;
    }
    const auto& transaction_result = std::get<TxnResult>(result);
    if (transaction_result.succeeded) {
      callback_(ChangeAccepted{header_});
      return;
    }
    OnHeadChanged(transaction_result);
  }

  // A transaction whose response was lost may still be applied later, so that
  // reading the head again would not show the outcome. Retrying it does: only
  // one of the two can be applied, and the other one fails its condition on the
  // revision of the head.
  void OnCommitError(const StoreError& error) {
    is_maybe_applied_ =
        is_maybe_applied_ || error.kind == StoreErrorCode::kOutcomeUnknown;
    if (is_maybe_applied_ && attempts_ < options_.attempts) {
      Commit();
    } else if (is_maybe_applied_) {
      callback_(ChangeUnknown{error.message});
    } else {
      callback_(ChangeUnavailable{error.message});
    }
  }

  // The head was changed by another operator or by an earlier attempt of this
  // call.
  void OnHeadChanged(const TxnResult& transaction_result) {
    auto parsed = ParseState(transaction_result);
    if (auto* const message = std::get_if<std::string>(&parsed)) {
      callback_(ChangeUnknown{std::move(*message)});
      return;
    }
    state_ = std::get<HeadState>(std::move(parsed));
    if (!FinishIfAlreadyAccepted()) {
      RefuseStale();
    }
  }

  void RefuseStale() {
    const Configuration* const current =
        CurrentConfiguration(state_.head, in_force_);
    ChangeStale stale{.head_version = VersionOf(current),
                      .diff = DiffFrom(current, request_.content)};
    AuditEntry entry = MakeAuditEntry();
    entry.reason = "stale_base";
    entry.summary = ToText(stale.diff);
    RecordRefusedChange(store_, std::move(entry),
                        [self = shared_from_this(), stale = std::move(stale)](
                            bool /*is_recorded*/) { self->callback_(stale); });
  }

  AuditEntry MakeAuditEntry() const {
    return {.base_version = request_.base_version,
            .author = request_.author,
            .operation_id = request_.operation_id,
            .created_unix_ms = request_.created_unix_ms,
            .digest = digest_,
            .reason = "",
            .summary = ""};
  }

  KeyValueStore* store_;
  ConfigurationHead::Options options_;
  ChangeRequest request_;
  std::optional<Configuration> in_force_;
  std::function<void(ChangeResult)> callback_;
  std::uint64_t version_;
  std::string digest_;
  HeadState state_;
  TxnRequest transaction_;
  ConfigurationHeader header_;
  std::uint32_t attempts_ = 0;
  bool is_maybe_applied_ = false;
};

}  // namespace

bool IsOperationId(std::string_view text) {
  const auto is_allowed = [](char character) {
    return (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '-' ||
           character == '_' || character == '.';
  };
  return !text.empty() && text.size() <= kMaxOperationIdLength &&
         std::ranges::all_of(text, is_allowed);
}

ConfigurationHead::ConfigurationHead(KeyValueStore* store)
    : ConfigurationHead(store, Options{}) {}

ConfigurationHead::ConfigurationHead(KeyValueStore* store, Options options)
    : store_(store), options_(options) {}

void ConfigurationHead::Check(ConfigurationContent content,
                              const std::optional<Configuration>& in_force,
                              std::function<void(ChangePreview)> callback) {
  store_->Range(
      {.key = std::string(kHeadKey), .range_end = ""},
      [content = std::move(content), in_force,
       callback = std::move(callback)](StoreResult<RangeResult> result) {
        HeadState state;
        auto* const range = std::get_if<RangeResult>(&result);
        const bool is_head_read =
            range != nullptr && !ParseHead(std::move(*range), state);
        const Configuration* const current =
            CurrentConfiguration(state.head, in_force);
        callback({.version = VersionOf(current),
                  .diff = DiffFrom(current, content),
                  .is_head_read = is_head_read});
      });
}

void ConfigurationHead::Apply(ChangeRequest request,
                              const std::optional<Configuration>& in_force,
                              std::function<void(ChangeResult)> callback) {
  std::make_shared<ApplyCall>(store_, options_, std::move(request), in_force,
                              std::move(callback))
      ->Start();
}

}  // namespace jaypick
