// Compression and decompression of values, with truncated, foreign and oversized input.
#include "codec/compression.h"

#include <catch2/catch.hpp>

namespace parsleyloft {

namespace {

struct long_value
{
    long_value()
    {
        for (int route = 0; route < 4000; ++route)
            value += R"({"host":"shop)" + std::to_string(route * 7919 % 4001)
                    + R"(.example","prefix":"/orders/","timeout_ms":"1500ms"},)";
    }

    std::string value;
};

} // namespace

TEST_CASE_METHOD(long_value, "compressed_value_is_shorter_and_decompresses_to_the_original",
                 "[compression]")
{
    const auto compressed = compressValue(value);
    CHECK(compressed.size() * 4 < value.size());
    CHECK(decompressValue(compressed, value.size()) == value);
}

TEST_CASE_METHOD(long_value, "decompressed_value_above_the_limit_is_rejected", "[compression]")
{
    CHECK_FALSE(decompressValue(compressValue(value), value.size() - 1));
}

TEST_CASE_METHOD(long_value, "truncated_or_uncompressed_bytes_are_rejected", "[compression]")
{
    const auto compressed = compressValue(value);
    CHECK_FALSE(decompressValue(compressed.substr(0, compressed.size() / 2), 1U << 24U));
    CHECK_FALSE(decompressValue("plain text", 1U << 24U));
    CHECK_FALSE(decompressValue("", 1U << 24U));
}

} // namespace parsleyloft
