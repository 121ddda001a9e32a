#pragma once

#include <LibConfiguration/DomainEntry.h>
#include <LibConfiguration/Selector.h>
#include <LibConfiguration/SteeringRule.h>
#include <LibConfiguration/TargetEntry.h>

#include <string>
#include <variant>
#include <vector>

namespace verbenachute {

/// The subject of a label: a target, or a failure domain, whose targets inherit
/// it unless they have a label with the same key.
using LabelSubject = std::variant<TargetName, FailureDomain>;

struct SetLabel
{
  LabelSubject mSubject;
  std::string mKey;
  std::string mValue;

  friend bool operator==(const SetLabel&, const SetLabel&) = default;
};

struct ClearLabel
{
  LabelSubject mSubject;
  std::string mKey;

  friend bool operator==(const ClearLabel&, const ClearLabel&) = default;
};

/// Adds a selector or replaces the one of the same name.
struct SetSelector
{
  Selector mSelector;

  friend bool operator==(const SetSelector&, const SetSelector&) = default;
};

struct RemoveSelector
{
  std::string mName;

  friend bool operator==(const RemoveSelector&,
                         const RemoveSelector&) = default;
};

struct TakeDomainOut
{
  FailureDomain mDomain;

  friend bool operator==(const TakeDomainOut&, const TakeDomainOut&) = default;
};

struct BringDomainIn
{
  FailureDomain mDomain;

  friend bool operator==(const BringDomainIn&, const BringDomainIn&) = default;
};

/// Adds a failure domain, whose region can not be changed later.
struct RegisterDomain
{
  FailureDomain mDomain;
  Region mRegion;

  friend bool operator==(const RegisterDomain&,
                         const RegisterDomain&) = default;
};

/// Adds or changes a target. Its failure domain can not be changed, since its
/// bucket and therefore its holder depend on it.
struct RegisterTarget
{
  TargetEntry mTarget;

  friend bool operator==(const RegisterTarget&,
                         const RegisterTarget&) = default;
};

struct RemoveTarget
{
  TargetName mTarget;

  friend bool operator==(const RemoveTarget&, const RemoveTarget&) = default;
};

/// Replaces all steering rules.
struct SetPolicy
{
  std::vector<SteeringRule> mRules;

  friend bool operator==(const SetPolicy&, const SetPolicy&) = default;
};

/// One change of the operators' configuration.
using Edit = std::variant<SetLabel,
                          ClearLabel,
                          SetSelector,
                          RemoveSelector,
                          TakeDomainOut,
                          BringDomainIn,
                          RegisterDomain,
                          RegisterTarget,
                          RemoveTarget,
                          SetPolicy>;

/// Whether an edit may leave a service or shard without an admissible target.
enum class CoverageLoss
{
  Refused,
  /// The operator has confirmed it.
  Accepted,
};

} // namespace verbenachute
