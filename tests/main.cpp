// Catch2's main function.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
