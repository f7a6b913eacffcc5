#include "model/acceleratorset.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace WisteriaHill::Model;

TEST_CASE("an allocated block has the requested size and only free accelerators")
{
    CHECK(rc::check([]() {
        const AcceleratorSet free = *rc::gen::inRange(0U, 65536U);
        const auto count = *rc::gen::inRange(1U, 17U);
        const auto block = alignedBlock(free, count);
        if (!block)
            return;
        RC_ASSERT((*block & ~free) == 0U);
        RC_ASSERT(acceleratorCount(*block) == count);
    }));
}

TEST_CASE("a block is found exactly when an aligned one is free")
{
    CHECK(rc::check([]() {
        const AcceleratorSet free = *rc::gen::inRange(0U, 65536U);
        const std::uint32_t largest = largestAlignedBlock(free);
        if (largest > 0)
            RC_ASSERT(alignedBlock(free, largest).has_value());
        if (largest < maximumAcceleratorsPerServer)
            RC_ASSERT(!alignedBlock(free, largest * 2 + (largest == 0 ? 1 : 0)).has_value());
    }));
}

TEST_CASE("a small gang does not split a large free block")
{
    CHECK(alignedBlock(0xff, 1) == 0x01U);
    CHECK(alignedBlock(0xfe, 1) == 0x02U);
    CHECK(alignedBlock(0xf4, 1) == 0x04U);
    CHECK(alignedBlock(0xf3, 2) == 0x03U);
}
