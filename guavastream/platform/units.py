"""Conversion of durations and versions from and to the platform's text format."""

__all__ = ["format_time", "format_version", "parse_time", "parse_version"]

MAX_VERSION_DIGITS = 8


def parse_time(text):
    """Return the seconds of a duration such as "1500ms" or "2.5s".

    Raises
    ------
    ValueError
        If the text is not a number followed by ms or s, or is out of range.

    Examples
    --------
    >>> parse_time("1500ms"), parse_time("2.5s")
    (1.5, 2.5)
    """
    if not isinstance(text, str):
        raise ValueError("is not a string")
    if text.endswith("ms"):
        value = float(text[:-2]) / 1000
    elif text.endswith("s"):
        value = float(text[:-1])
    else:
        raise ValueError("has no unit ms or s")
    if not 0 <= value < 1e9:
        raise ValueError("is out of range")
    return value


def format_time(seconds):
    """Format a duration as whole milliseconds, rounded down.

    Examples
    --------
    >>> format_time(2.5)
    '2500ms'
    """
    return f"{int(seconds * 1000)}ms"


def parse_version(text):
    """Return the number of a version that is written in hexadecimal.

    Raises
    ------
    ValueError
        If the text is not one to eight hexadecimal digits.

    Examples
    --------
    >>> parse_version("0000000c"), parse_version("0")
    (12, 0)
    """
    if not isinstance(text, str) or not 0 < len(text) <= MAX_VERSION_DIGITS:
        raise ValueError("is not a string of 1 to 8 characters")
    if not all(digit in "0123456789abcdefABCDEF" for digit in text):
        raise ValueError("is not hexadecimal")
    return int(text, 16)


def format_version(version):
    """Format a version as eight hexadecimal digits.

    Examples
    --------
    >>> format_version(12)
    '0000000c'
    """
    return f"{version:08x}"
