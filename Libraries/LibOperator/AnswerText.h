#pragma once

#include <json/value.h>
#include <string>

namespace verbenachute {

/// Answers of the operators' interface as text for a person. Fields that are
/// missing, as an older or newer node may have it, are left out.
[[nodiscard]] std::string
ChangeText(const Json::Value& aAnswer);
[[nodiscard]] std::string
StatusText(const Json::Value& aAnswer);
[[nodiscard]] std::string
NodesText(const Json::Value& aAnswer);
[[nodiscard]] std::string
TargetsText(const Json::Value& aAnswer);
[[nodiscard]] std::string
LabelsText(const Json::Value& aAnswer);
[[nodiscard]] std::string
SelectorsText(const Json::Value& aAnswer);
[[nodiscard]] std::string
DomainsText(const Json::Value& aAnswer);
[[nodiscard]] std::string
ExplainText(const Json::Value& aAnswer);
[[nodiscard]] std::string
PendingText(const Json::Value& aAnswer);
[[nodiscard]] std::string
HistoryText(const Json::Value& aAnswer);
[[nodiscard]] std::string
QueryText(const Json::Value& aAnswer);
/// Indented JSON, for answers that are documents.
[[nodiscard]] std::string
DocumentText(const Json::Value& aAnswer);
/// One line of an error answer.
[[nodiscard]] std::string
ErrorText(const Json::Value& aAnswer);

} // namespace verbenachute
