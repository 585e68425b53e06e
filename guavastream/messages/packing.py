"""Compression of large encoded data for sending and storing."""

import zlib

__all__ = ["pack", "unpack"]

# Compressing less than this costs more time than the saved bytes are worth.
MIN_PACK_BYTES = 1024
# The fastest level compresses 1,200 routes from 400 to 50 KB in 4 ms. The best level
# takes ten times as long and reaches 40 KB.
COMPRESSION_LEVEL = 1
# First byte of zlib data at any level. Encoded data are msgpack maps or arrays, and
# these never start with it.
ZLIB_FIRST_BYTE = 0x78


def pack(data):
    """Compress encoded data if that makes it smaller.

    Data below `MIN_PACK_BYTES` is returned as it is.

    Parameters
    ----------
    data : bytes
        A msgpack map or array.

    Examples
    --------
    >>> short, long = b"\\x91\\x01", b"\\x92" + bytes(5000)
    >>> pack(short) == short, len(pack(long)) < 100
    (True, True)
    >>> unpack(pack(short)) == short, unpack(pack(long)) == long
    (True, True)
    """
    if len(data) < MIN_PACK_BYTES:
        return data
    packed = zlib.compress(data, COMPRESSION_LEVEL)
    return packed if len(packed) < len(data) else data


def unpack(data):
    """Return the data that was passed to `pack`.

    Raises
    ------
    ValueError
        If the compressed data is corrupt.
    """
    if not data or data[0] != ZLIB_FIRST_BYTE:
        return data
    try:
        return zlib.decompress(data)
    except zlib.error as error:
        raise ValueError(f"corrupt compressed data: {error}") from error
