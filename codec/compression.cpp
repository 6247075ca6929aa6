// Values that pass between hosts in a shorter form, by Zstandard.
#include "codec/compression.h"

#include <zstd.h>

namespace parsleyloft {

namespace {

// Higher levels take several times as long for a few parts in a hundred.
constexpr int level = 3;

} // namespace

auto compressValue(std::string_view value) -> std::string
{
    std::string packed(ZSTD_compressBound(value.size()), '\0');
    const auto size =
            ZSTD_compress(packed.data(), packed.size(), value.data(), value.size(), level);
    packed.resize(ZSTD_isError(size) != 0 ? 0 : size);
    return packed;
}

auto decompressValue(std::string_view packed, std::size_t mostBytes) -> result<std::string>
{
    const auto size = ZSTD_getFrameContentSize(packed.data(), packed.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > mostBytes)
        return failure(error_code::InvalidInput, "not a compressed value within its limit");
    std::string value(size, '\0');
    const auto read = ZSTD_decompress(value.data(), value.size(), packed.data(), packed.size());
    if (ZSTD_isError(read) != 0 || read != size)
        return failure(error_code::InvalidInput, "a compressed value that is not whole");
    return value;
}

} // namespace parsleyloft
