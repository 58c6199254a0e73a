#include "Pimentoward/Core/Base64.h"

#include <catch2/catch.hpp>

#include <random>

using namespace pimentoward;

TEST_CASE("Decoding base64 returns the bytes that were encoded")
{
    std::mt19937 random(9);
    for (std::size_t size = 0; size < 300; ++size) {
        std::string bytes(size, '\0');
        for (char &byte : bytes) {
            byte = static_cast<char>(random());
        }
        CHECK(fromBase64(toBase64(bytes)) == bytes);
    }
    CHECK(toBase64("node-1") == "bm9kZS0x");
}
