"""Output for people and for programs."""

import json

__all__ = ["print_json", "print_table"]


def print_json(item):
    """Print plain values as indented JSON."""
    print(json.dumps(item, indent=2))


def print_table(heads, rows):
    """Print rows in aligned columns under their heads.

    Examples
    --------
    >>> print_table(("host", "shards"), [("h1", 12)])
    host  shards
    h1    12
    """
    lines = [tuple(map(str, row)) for row in (heads, *rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        print("  ".join(cells).rstrip())
