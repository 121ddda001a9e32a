#pragma once

#include <LibCore/Error.h>
#include <LibWire/FieldReader.h>
#include <LibWire/FieldWriter.h>

#include <functional>
#include <string>
#include <string_view>

namespace verbenachute {

/// The bytes of a batch of one message, whose fields aWrite writes.
[[nodiscard]] std::string
EncodeSingleMessage(const std::function<void(FieldWriter*)>& aWrite);

/// Reads such a batch. Bytes that it did not write, and MalformedField from
/// aRead, are InvalidInput at the step.
template<typename Message>
[[nodiscard]] Result<Message>
DecodeSingleMessage(std::string_view aBytes,
                    Step aStep,
                    const std::function<Message(FieldReader*)>& aRead)
{
  try {
    const UnpackedBytes bytes(aBytes);
    FieldReader batch = bytes.Root();
    FieldReader reader = batch.Array();
    return aRead(&reader);
  } catch (const std::exception& problem) {
    return Error{ aStep, ErrorCode::InvalidInput, "", problem.what() };
  }
}

} // namespace verbenachute
