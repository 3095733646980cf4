// Entry point of the tests of violetwing-node, its router and placer.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
