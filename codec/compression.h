// Zstandard compression of values that are sent between hosts.
#pragma once

#include "core/error.h"

#include <string>
#include <string_view>

namespace parsleyloft {

auto compressValue(std::string_view value) -> std::string;

// Fails with InvalidInput when the bytes are not a complete compressed value, or when it is larger
// than maxBytes uncompressed.
auto decompressValue(std::string_view compressed, std::size_t maxBytes) -> result<std::string>;

} // namespace parsleyloft
