#pragma once

#include <LibConfiguration/ConfigurationView.h>

#include <map>
#include <set>

namespace verbenachute {

/// A configuration made of plain tables.
class FakeConfiguration final : public ConfigurationView
{
public:
  Revision mRevision;
  std::map<TargetName, TargetEntry> mEntries;
  std::set<FailureDomain> mTakenOut;
  std::set<TargetName> mLeftAlone;
  std::set<CallerId> mBarred;

  void Add(const TargetEntry& aEntry)
  {
    mEntries[aEntry.mName] = aEntry;
    mNames.clear();
    for (const auto& [name, entry] : mEntries) {
      mNames.push_back(name);
    }
  }

  [[nodiscard]] Revision CurrentRevision() const override { return mRevision; }
  [[nodiscard]] const TargetEntry* FindTarget(
    const TargetName& aTarget) const override
  {
    const auto entry = mEntries.find(aTarget);
    return entry == mEntries.end() ? nullptr : &entry->second;
  }
  [[nodiscard]] const std::vector<TargetName>& TargetsOf(
    const ServiceName& /*aService*/) const override
  {
    return mNames;
  }
  [[nodiscard]] const std::vector<TargetName>& AllTargets() const override
  {
    return mNames;
  }
  [[nodiscard]] AdmittanceDecision MayTakeNewWork(
    const TargetName& aTarget,
    const CallerId& aCaller) const override
  {
    const TargetEntry* entry = FindTarget(aTarget);
    if (entry == nullptr) {
      return { Admittance::UnknownTarget, "" };
    }
    if (mLeftAlone.contains(aTarget)) {
      return { Admittance::LeftAlone, "left-alone" };
    }
    if (mTakenOut.contains(entry->mDomain)) {
      return { Admittance::NoNewWork, entry->mDomain.value() };
    }
    if (mBarred.contains(aCaller)) {
      return { Admittance::NotForCaller, "barred" };
    }
    return { Admittance::Admitted, "" };
  }

private:
  std::vector<TargetName> mNames;
};

} // namespace verbenachute
