#include "Mechanisms.h"

#include <LibJson/JsonText.h>

#include <cstdio>

// Measures what the mechanisms of the product cost at several sizes, one at a
// time and in memory, and prints the figures of docs/CAPACITY.md as JSON.
int
main()
{
  using namespace verbenachute;
  using Measure = Measurement (*)();
  constexpr Measure kMeasures[] = { MeasureCodec,        MeasureMerge,
                                    MeasureEngine,       MeasureGate,
                                    MeasureLease,        MeasureMembership,
                                    MeasureConfiguration };
  Json::Value list(Json::arrayValue);
  for (const Measure measure : kMeasures) {
    const Measurement measurement = measure();
    Json::Value item;
    item["mechanism"] = measurement.mMechanism;
    item["size"] = measurement.mSizeMeaning;
    item["operation"] = measurement.mOperation;
    for (const Sample& sample : measurement.mSamples) {
      Json::Value point;
      point["size"] = Json::UInt64(sample.mSize);
      point["nanoseconds"] = Json::Int64(sample.mNanoseconds);
      point["bytes"] = Json::Int64(sample.mBytes);
      item["samples"].append(std::move(point));
    }
    list.append(std::move(item));
  }
  std::printf("%s\n", CompactJson(list).c_str());
  return 0;
}
