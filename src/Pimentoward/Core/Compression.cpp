#include "Pimentoward/Core/Compression.h"

#include <zlib.h>

namespace pimentoward {

namespace {

/// Number of bytes that are decompressed at a time.
constexpr std::size_t chunkBytes = 65'536;

} // namespace

std::string compress(const std::string &bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string compressed(size, '\0');
    // This cannot fail, because the buffer has the maximum size that zlib can need.
    compress2(reinterpret_cast<Bytef *>(compressed.data()), &size,
              reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    compressed.resize(size);
    return compressed;
}

std::optional<std::string> decompress(const std::string &compressed, std::size_t maxBytes)
{
    z_stream stream {};
    if (inflateInit(&stream) != Z_OK) {
        return std::nullopt;
    }
    stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(compressed.data()));
    stream.avail_in = static_cast<uInt>(compressed.size());
    std::string bytes;
    std::string chunk(chunkBytes, '\0');
    int result = Z_OK;
    while (result == Z_OK && bytes.size() <= maxBytes) {
        stream.next_out = reinterpret_cast<Bytef *>(chunk.data());
        stream.avail_out = static_cast<uInt>(chunk.size());
        result = inflate(&stream, Z_NO_FLUSH);
        bytes.append(chunk, 0, chunk.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    if (result != Z_STREAM_END || bytes.size() > maxBytes) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace pimentoward
