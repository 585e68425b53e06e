"""Registries of plug-ins by name."""

__all__ = ["Registry"]


class Registry:
    """Registry of plug-ins of one kind.

    Parameters
    ----------
    kind : str
        Kind of the plug-ins, for error messages.

    Examples
    --------
    >>> shapes = Registry(kind="shape")
    >>> @shapes.register("dot")
    ... class Dot:
    ...     pass
    >>> shapes.get("dot") is Dot, shapes.names
    (True, ('dot',))
    """

    def __init__(self, *, kind):
        self._kind = kind
        self._items = {}

    @property
    def names(self):
        """Names of all plug-ins in order of registration."""
        return tuple(self._items)

    def register(self, name):
        """Return a decorator that registers a class or function as `name`.

        Raises
        ------
        ValueError
            If the name is already registered.
        """

        def add(item):
            if name in self._items:
                raise ValueError(f"{self._kind} {name!r} is already registered")
            self._items[name] = item
            return item

        return add

    def get(self, name):
        """Return the plug-in called `name`.

        Raises
        ------
        KeyError
            If there is no such plug-in.
        """
        return self._items[name]

    def values(self):
        """Return all plug-ins in order of registration."""
        return tuple(self._items.values())
