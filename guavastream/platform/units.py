"""Times and versions as the platform writes them."""

__all__ = ["format_time", "format_version", "parse_time", "parse_version"]

MOST_VERSION_DIGITS = 8


def parse_time(text):
    """Return seconds.

    Raises
    ------
    ValueError
        If it is not a number with the unit ms or s.

    Examples
    --------
    >>> parse_time("1500ms"), parse_time("2.5s")
    (1.5, 2.5)
    """
    if not isinstance(text, str):
        raise ValueError("not a text")
    if text.endswith("ms"):
        value = float(text[:-2]) / 1000
    elif text.endswith("s"):
        value = float(text[:-1])
    else:
        raise ValueError("no unit ms or s")
    if not 0 <= value < 1e9:
        raise ValueError("out of range")
    return value


def format_time(seconds):
    """Return a time in whole milliseconds.

    Examples
    --------
    >>> format_time(2.5)
    '2500ms'
    """
    return f"{int(seconds * 1000)}ms"


def parse_version(text):
    """Return the number of a version in hexadecimal digits.

    Raises
    ------
    ValueError
        If it is not one.

    Examples
    --------
    >>> parse_version("0000000c"), parse_version("0")
    (12, 0)
    """
    if not isinstance(text, str) or not 0 < len(text) <= MOST_VERSION_DIGITS:
        raise ValueError("not a version")
    if not all(digit in "0123456789abcdefABCDEF" for digit in text):
        raise ValueError("not hexadecimal")
    return int(text, 16)


def format_version(version):
    """Return a version in eight hexadecimal digits.

    Examples
    --------
    >>> format_version(12)
    '0000000c'
    """
    return f"{version:08x}"
