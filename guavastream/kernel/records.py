"""Frozen data classes that are made, copied and encoded all the time."""

import functools

import msgspec

__all__ = ["record", "replace"]

# Of what a class statement leaves behind, these belong to the class itself.
OWN = ("__annotations__", "__dict__", "__weakref__")

replace = msgspec.structs.replace


def record(cls=None, *, encoded_names=None):
    """Make a class a frozen data class with keyword-only fields.

    It does what ``dataclasses.dataclass(frozen=True, kw_only=True, slots=True)``
    does, in C: such a class takes 0.05 ms to make in place of 1.4, which is paid
    for each of some thirty classes at each start of a process, and a copy with
    `replace` 0.4 us in place of 3. Use it for what is sent, stored or copied often;
    elsewhere a plain data class reads as well.

    Parameters
    ----------
    cls : type, optional
        The class; without it a decorator is returned.
    encoded_names : dict, optional
        Names that fields have when they are encoded, by attribute, where the two
        differ. An encoded name must stay as it is: stored files and processes of
        other versions use it.

    Examples
    --------
    >>> @record
    ... class Point:
    ...     x: int
    ...     y: int = 0
    >>> point = Point(x=1)
    >>> replace(point, y=2), point == Point(x=1, y=0)
    (Point(x=1, y=2), True)
    >>> point.x = 3
    Traceback (most recent call last):
    AttributeError: immutable type: 'Point'

    >>> @record(encoded_names={"latitude": "y"})
    ... class Place:
    ...     latitude: int
    >>> msgspec.json.encode(Place(latitude=3))
    b'{"y":3}'
    """
    if cls is None:
        return functools.partial(record, encoded_names=encoded_names)
    names = cls.__dict__.get("__annotations__", {})
    fields = [
        (name, kind, cls.__dict__[name]) if name in cls.__dict__ else (name, kind)
        for name, kind in names.items()
    ]
    rest = {
        name: value
        for name, value in cls.__dict__.items()
        if name not in names and name not in OWN
    }
    return msgspec.defstruct(
        cls.__name__,
        fields,
        namespace=rest,
        module=cls.__module__,
        frozen=True,
        kw_only=True,
        rename=encoded_names,
    )
