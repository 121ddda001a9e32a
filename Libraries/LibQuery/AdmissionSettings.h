#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>
#include <vector>

namespace verbenachute {

/// Limits of one caller class at one node.
struct ClassLimits
{
  CallerClass mClass;
  /// Under overload the classes with the lowest weight are shed first.
  std::uint32_t mWeight = 1;
  std::uint32_t mMaximumRunning = 128;
  std::uint32_t mMaximumQueued = 256;
};

/// How many queries a node runs and queues at one time.
struct AdmissionSettings
{
  std::uint32_t mMaximumRunning = 256;
  std::uint32_t mMaximumQueued = 512;
  std::vector<ClassLimits> mClasses;
  /// Limits of all classes together that mClasses does not name. Its class
  /// name is that under which they are counted.
  ClassLimits mOther{ CallerClass("other") };
};

} // namespace verbenachute
