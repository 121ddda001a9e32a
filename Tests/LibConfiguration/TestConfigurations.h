#pragma once

#include <LibConfiguration/ConfigurationCodec.h>
#include <LibConfiguration/ConfigurationEditor.h>

#include <doctest/doctest.h>

namespace verbenachute {

using ConfigurationPointer = std::shared_ptr<const Configuration>;

/// Two failure domains, each with one target of one service.
inline ConfigurationPointer
SmallConfiguration()
{
  const Result<ConfigurationPointer> read =
    ConfigurationCodec::ParseDocument(R"({
    "domains":[{"name":"caxias-a","region":"sul-rs"},
               {"name":"bento-c","region":"sul-rs"}],
    "targets":[
      {"name":"t-1","service":"painel-doca","address":"127.0.0.1:9001",
       "domain":"caxias-a","slots":2,"connections":25},
      {"name":"t-2","service":"painel-doca","address":"127.0.0.1:9002",
       "domain":"bento-c","slots":2,"connections":25}]})");
  REQUIRE(!IsError(read));
  return ValueOf(read);
}

inline ChangeRequest
RequestOf(const std::string& aOperation, const Change& aChange)
{
  return { OperationId(aOperation), OperatorName("ana"), aChange, {}, {} };
}

inline ChangeRequest
LabelRequest(const std::string& aOperation,
             const std::string& aKey,
             const std::string& aValue)
{
  return RequestOf(aOperation,
                   MakeEdit{ SetLabel{ TargetName("t-1"), aKey, aValue },
                             CoverageLoss::Refused });
}

} // namespace verbenachute
