#pragma once

#include <LibCore/Error.h>
#include <LibWire/FieldReader.h>
#include <LibWire/FieldWriter.h>

#include <functional>
#include <string>
#include <string_view>

namespace verbenachute {

/// Encodes a batch of one message; aWrite writes the fields of the message.
[[nodiscard]] std::string
EncodeSingleMessage(const std::function<void(FieldWriter*)>& aWrite);

/// Decodes the output of EncodeSingleMessage; aRead reads the fields of the
/// message. Malformed bytes and exceptions thrown by aRead are InvalidInput
/// errors at aStep.
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
  } catch (const std::exception& failure) {
    return Error{ aStep, ErrorCode::InvalidInput, "", failure.what() };
  }
}

} // namespace verbenachute
