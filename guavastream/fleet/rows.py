"""Rows of adjacent keys: pairs of the first and the last."""

__all__ = ["rows_overlap", "rows_without"]


def rows_overlap(row, other):
    """Whether two rows have a key in common; further fields do not matter.

    Examples
    --------
    >>> rows_overlap((0, 9), (9, 12, 5)), rows_overlap((0, 9), (10, 12))
    (True, False)
    """
    return row[0] <= other[1] and other[0] <= row[1]


def rows_without(rows, window):
    """Return what is left of rows (first, last) where a window is taken out.

    Examples
    --------
    >>> rows_without([(0, 9), (20, 29)], (5, 24))
    [(0, 4), (25, 29)]
    """
    left = []
    for first, last in rows:
        if window[1] < first or last < window[0]:
            left.append((first, last))
            continue
        if first < window[0]:
            left.append((first, window[0] - 1))
        if window[1] < last:
            left.append((window[1] + 1, last))
    return left
