// Zstandard compression of values that are sent between hosts.
#include "codec/compression.h"

#include <zstd.h>

namespace parsleyloft {

namespace {

// Higher levels take several times as long and save only a few percent more.
constexpr int compressionLevel = 3;

} // namespace

auto compressValue(std::string_view value) -> std::string
{
    std::string compressed(ZSTD_compressBound(value.size()), '\0');
    const auto size = ZSTD_compress(compressed.data(), compressed.size(), value.data(),
                                    value.size(), compressionLevel);
    compressed.resize(ZSTD_isError(size) != 0 ? 0 : size);
    return compressed;
}

auto decompressValue(std::string_view compressed, std::size_t maxBytes) -> result<std::string>
{
    const auto size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > maxBytes)
        return failure(error_code::InvalidInput,
                       "not a compressed value of at most " + std::to_string(maxBytes) + " bytes");
    std::string value(size, '\0');
    const auto read =
            ZSTD_decompress(value.data(), value.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(read) != 0 || read != size)
        return failure(error_code::InvalidInput, "compressed value truncated or corrupt");
    return value;
}

} // namespace parsleyloft
