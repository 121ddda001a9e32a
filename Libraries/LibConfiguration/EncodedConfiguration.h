#pragma once

#include <LibConfiguration/ConfigurationHead.h>

#include <map>
#include <memory>
#include <string>

namespace verbenachute {

/// Texts of parts by their names.
using ConfigurationParts =
  std::map<PartName, std::shared_ptr<const std::string>>;

/// A configuration in the form in which the store holds it.
struct EncodedConfiguration
{
  ConfigurationHead mHead;
  ConfigurationParts mParts;
};

} // namespace verbenachute
