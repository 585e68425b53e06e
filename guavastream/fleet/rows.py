"""Operations on rows: tuples that begin with the first and last key of a range."""

__all__ = ["rows_overlap", "subtract_range"]


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
