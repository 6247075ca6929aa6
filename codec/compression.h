// Values that pass between hosts in a shorter form, by Zstandard.
#pragma once

#include "core/error.h"

#include <string>
#include <string_view>

namespace parsleyloft {

auto compressValue(std::string_view value) -> std::string;

// Fails with InvalidInput for bytes that are no whole compressed value, or one above the limit.
auto decompressValue(std::string_view packed, std::size_t mostBytes) -> result<std::string>;

} // namespace parsleyloft
