#include <LibOperator/AnswerText.h>

#include <LibConfiguration/Difference.h>
#include <LibConfiguration/EntryJson.h>
#include <LibJson/JsonText.h>

#include <vector>

namespace verbenachute {

namespace {

std::string
Text(const Json::Value& aObject, const char* aField)
{
  const Json::Value value =
    aObject.isObject() ? aObject[aField] : Json::Value();
  return value.isNull() || value.isArray() || value.isObject()
           ? ""
           : value.asString();
}

/// "a, b" of an array of texts.
std::string
Joined(const Json::Value& aTexts)
{
  std::string joined;
  for (const Json::Value& text : aTexts) {
    joined += (joined.empty() ? "" : ", ") + text.asString();
  }
  return joined;
}

/// "key=value key=value" of an object of labels.
std::string
LabelWords(const Json::Value& aLabels)
{
  std::string words;
  if (aLabels.isObject()) {
    for (const std::string& key : aLabels.getMemberNames()) {
      words +=
        (words.empty() ? "" : " ") + key + "=" + Text(aLabels, key.c_str());
    }
  }
  return words;
}

/// One line an entry, its fields in columns under their names.
std::string
Table(const Json::Value& aEntries, const std::vector<const char*>& aFields)
{
  std::vector<std::vector<std::string>> rows;
  rows.emplace_back(aFields.begin(), aFields.end());
  for (const Json::Value& entry : aEntries) {
    std::vector<std::string> row;
    row.reserve(aFields.size());
    for (const char* field : aFields) {
      row.push_back(entry[field].isObject()  ? LabelWords(entry[field])
                    : entry[field].isArray() ? Joined(entry[field])
                                             : Text(entry, field));
    }
    rows.push_back(std::move(row));
  }
  std::vector<std::size_t> widths(aFields.size());
  for (const std::vector<std::string>& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const std::vector<std::string>& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] + 2 - row[i].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string
NodeLine(const char* aMeaning, const Json::Value& aNodes)
{
  return aNodes.empty() ? "" : std::string(aMeaning) + Joined(aNodes) + "\n";
}

std::string
DifferenceLines(const Json::Value& aDifferences)
{
  std::string text;
  for (const Json::Value& value : aDifferences) {
    const Result<Difference> difference = ReadDifference(value);
    text += "  " +
            (IsError(difference) ? CompactJson(value)
                                 : DifferenceText(ValueOf(difference))) +
            "\n";
  }
  return text;
}

} // namespace

std::string
ChangeText(const Json::Value& aAnswer)
{
  const bool applied = aAnswer["applied"].asBool();
  const std::string revision = Text(aAnswer, "revision");
  return Text(aAnswer, "change") + "\n" +
         (applied
            ? "accepted as revision " + revision + ", operation " +
                Text(aAnswer, "operation_id")
            : "dry run: would be revision " + revision + "; nothing changed") +
         "\n" + DifferenceLines(aAnswer["differences"]);
}

std::string
StatusText(const Json::Value& aAnswer)
{
  const bool everywhere = Text(aAnswer, "spread") == "in_force";
  return "revision " + Text(aAnswer, "revision") +
         (everywhere ? " is in force everywhere\n" : " is spreading\n") +
         NodeLine("confirmed: ", aAnswer["confirmed"]) +
         NodeLine("can't dispatch: ", aAnswer["cannot_dispatch"]) +
         NodeLine("lagging: ", aAnswer["lagging"]) +
         NodeLine("domains out: ", aAnswer["domains_out"]) +
         NodeLine("domains that the platform has taken out: ",
                  aAnswer["domains_out_by_platform"]) +
         "pending proposals: " + Text(aAnswer, "pending") + "\n" +
         (aAnswer.isMember("confirmed_ms_ago")
            ? "latest as of " + Text(aAnswer, "confirmed_ms_ago") + " ms ago\n"
            : "not confirmed as the latest\n");
}

std::string
NodesText(const Json::Value& aAnswer)
{
  return Table(aAnswer["nodes"], { "node", "revision", "standing" });
}

std::string
TargetsText(const Json::Value& aAnswer)
{
  return Table(aAnswer["targets"],
               { "name",
                 "service",
                 "domain",
                 "address",
                 "slots",
                 "connections",
                 "admittance",
                 "reason",
                 "labels" });
}

std::string
LabelsText(const Json::Value& aAnswer)
{
  return Table(aAnswer["labels"], { "target", "labels" });
}

std::string
SelectorsText(const Json::Value& aAnswer)
{
  return Table(aAnswer["selectors"],
               { "name", "effect", "matches", "callers" });
}

std::string
DomainsText(const Json::Value& aAnswer)
{
  return Table(aAnswer["domains"], { "name", "region", "state", "labels" });
}

std::string
ExplainText(const Json::Value& aAnswer)
{
  std::string text = "target " + Text(aAnswer, "target") + ", caller " +
                     Text(aAnswer, "caller") + ": " +
                     Text(aAnswer, "admittance");
  const std::string reason = Text(aAnswer, "reason");
  text += reason.empty() ? "\n" : ", by " + reason + "\n";
  text += "labels: " + LabelWords(aAnswer["labels"]) + "\n";
  for (const Json::Value& rule : aAnswer["rules"]) {
    text += "  " + rule.asString() + "\n";
  }
  return text;
}

std::string
PendingText(const Json::Value& aAnswer)
{
  std::string text;
  for (const Json::Value& proposal : aAnswer["proposals"]) {
    text += Text(proposal, "id") + ", proposed by " +
            Text(proposal, "proposer") + " at revision " +
            Text(proposal, "proposed_at") + "\n" +
            DifferenceLines(proposal["differences"]);
  }
  return text.empty() ? "no proposal is pending\n" : text;
}

std::string
HistoryText(const Json::Value& aAnswer)
{
  return Table(aAnswer["history"],
               { "revision", "operator", "operation", "summary" });
}

std::string
QueryText(const Json::Value& aAnswer)
{
  const Json::Value& coverage = aAnswer["coverage"];
  std::string text = Text(aAnswer, "service") + ", snapshot " +
                     Text(aAnswer, "snapshot") + ": " +
                     Text(coverage, "answered") + " of " +
                     Text(coverage, "shards") + " shards\n";
  return text + Table(aAnswer["hits"], { "id", "score", "text" });
}

std::string
DocumentText(const Json::Value& aAnswer)
{
  return IndentedJson(aAnswer) + "\n";
}

std::string
ErrorText(const Json::Value& aAnswer)
{
  const Json::Value& error = aAnswer["error"];
  const std::string peer = Text(error, "peer");
  return Text(error, "code") + " at " + Text(error, "step") +
         (peer.empty() ? "" : " (" + peer + ")") + ": " +
         Text(error, "message");
}

} // namespace verbenachute
