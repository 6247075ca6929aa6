// Values in their shorter form.
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

TEST_CASE_METHOD(long_value, "value_that_is_compressed_comes_back_whole_and_was_shorter",
                 "[compression]")
{
    const auto packed = compressValue(value);
    CHECK(packed.size() * 4 < value.size());
    CHECK(decompressValue(packed, value.size()) == value);
}

TEST_CASE_METHOD(long_value, "value_above_the_limit_is_refused", "[compression]")
{
    CHECK_FALSE(decompressValue(compressValue(value), value.size() - 1));
}

TEST_CASE_METHOD(long_value, "bytes_that_are_cut_or_no_value_are_refused", "[compression]")
{
    const auto packed = compressValue(value);
    CHECK_FALSE(decompressValue(packed.substr(0, packed.size() / 2), 1U << 24U));
    CHECK_FALSE(decompressValue("plain text", 1U << 24U));
    CHECK_FALSE(decompressValue("", 1U << 24U));
}

} // namespace parsleyloft
