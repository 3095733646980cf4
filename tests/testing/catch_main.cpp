// Entry point of the tests of the router and placer.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
