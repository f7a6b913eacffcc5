#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <cstdlib>

/// Property tests use a fixed seed unless RC_PARAMS sets another.
int main(int argc, char** argv)
{
    constexpr int keepExisting = 0;
    setenv("RC_PARAMS", "seed=20261204", keepExisting);
    return Catch::Session().run(argc, argv);
}
