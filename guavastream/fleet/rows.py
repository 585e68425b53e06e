"""Operations on rows: tuples that begin with the first and last key of a range."""

from bisect import bisect_left, bisect_right

__all__ = ["rows_overlap", "subtract_range", "subtract_rows"]


def rows_overlap(row, other):
    """Return whether two rows have a key in common; further fields are ignored.

    Examples
    --------
    >>> rows_overlap((0, 9), (9, 12, 5)), rows_overlap((0, 9), (10, 12))
    (True, False)
    """
    return row[0] <= other[1] and other[0] <= row[1]


def subtract_range(rows, removed):
    """Return rows (first, last) without the keys of another row.

    Examples
    --------
    >>> subtract_range([(0, 9), (20, 29)], (5, 24))
    [(0, 4), (25, 29)]
    """
    remaining = []
    for first, last in rows:
        if removed[1] < first or last < removed[0]:
            remaining.append((first, last))
            continue
        if first < removed[0]:
            remaining.append((first, removed[0] - 1))
        if removed[1] < last:
            remaining.append((removed[1] + 1, last))
    return remaining


def subtract_rows(rows, removed):
    """Return sorted rows without the keys of any removed row, in time `n log n`.

    Fields after the first and last key are kept with each part of a row, and ignored
    in `removed`. Rows may overlap; a key that several rows contain is returned only
    with the first of them.

    Examples
    --------
    >>> subtract_rows([(0, 9, "x"), (20, 29, "y")], [(25, 40, 7), (3, 5, 8)])
    [(0, 2, 'x'), (6, 9, 'x'), (20, 24, 'y')]
    """
    merged = []
    for first, last, *_ in sorted(removed):
        if merged and first <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(last, merged[-1][1]))
        else:
            merged.append((first, last))
    remaining, end = [], -1
    for row_first, last, *fields in sorted(rows):
        first = max(row_first, end + 1)
        if first > last:
            continue
        end = last
        low = bisect_left(merged, first, key=_last_key)
        high = bisect_right(merged, last, key=_first_key)
        parts = [(first, last)]
        for overlapping in merged[low:high]:
            # Only the last part can have keys in common with the next removed row.
            parts += subtract_range([parts.pop()], overlapping)
            if not parts:
                break
        remaining += [(*part, *fields) for part in parts]
    return remaining


def _first_key(row):
    return row[0]


def _last_key(row):
    return row[1]
