"""Frozen data classes that are fast to create, copy and encode."""

import functools

import msgspec

__all__ = ["record", "replace"]

# Attributes of the original class that must not be copied to the record class.
SPECIAL_ATTRIBUTES = ("__annotations__", "__dict__", "__weakref__")

replace = msgspec.structs.replace


def record(cls=None, *, encoded_names=None):
    """Turn a class into a frozen data class with keyword-only fields.

    Equivalent to ``dataclasses.dataclass(frozen=True, kw_only=True, slots=True)``, but
    implemented in C. Creating a class takes 0.05 instead of 1.4 ms, for each of about
    thirty classes whenever a process starts, and a copy by `replace` 0.4 instead of
    3 us. Use it for data that is often sent, stored or copied; elsewhere a plain data
    class will do.

    Parameters
    ----------
    cls : type, optional
        The class. A decorator is returned if it is omitted.
    encoded_names : dict, optional
        Encoded names of fields by attribute name, where the two differ. An encoded
        name must never change, since stored files and processes of other versions
        use it.

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
    annotations = cls.__dict__.get("__annotations__", {})
    fields = [
        (name, type_, cls.__dict__[name]) if name in cls.__dict__ else (name, type_)
        for name, type_ in annotations.items()
    ]
    other_attributes = {
        name: value
        for name, value in cls.__dict__.items()
        if name not in annotations and name not in SPECIAL_ATTRIBUTES
    }
    return msgspec.defstruct(
        cls.__name__,
        fields,
        namespace=other_attributes,
        module=cls.__module__,
        frozen=True,
        kw_only=True,
        rename=encoded_names,
    )
