#include "Pimentoward/Core/Compression.h"

#include <zlib.h>

namespace pimentoward {

namespace {

/// Unpacked at a time.
constexpr std::size_t chunkBytes = 65'536;

} // namespace

std::string compress(const std::string &bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string packed(size, '\0');
    // It cannot fail: the space is as large as zlib may need.
    compress2(reinterpret_cast<Bytef *>(packed.data()), &size,
              reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    packed.resize(size);
    return packed;
}

std::optional<std::string> decompress(const std::string &packed, std::size_t most)
{
    z_stream stream {};
    if (inflateInit(&stream) != Z_OK) {
        return std::nullopt;
    }
    stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(packed.data()));
    stream.avail_in = static_cast<uInt>(packed.size());
    std::string bytes;
    std::string chunk(chunkBytes, '\0');
    int result = Z_OK;
    while (result == Z_OK && bytes.size() <= most) {
        stream.next_out = reinterpret_cast<Bytef *>(chunk.data());
        stream.avail_out = static_cast<uInt>(chunk.size());
        result = inflate(&stream, Z_NO_FLUSH);
        bytes.append(chunk, 0, chunk.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    if (result != Z_STREAM_END || bytes.size() > most) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace pimentoward
