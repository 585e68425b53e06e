"""Registries in which plug-ins enter themselves under a name."""

__all__ = ["Registry"]


class Registry:
    """Plug-ins of one kind, by name.

    Parameters
    ----------
    kind : str
        What the plug-ins are, for messages.

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
        """Names of all plug-ins in their order of registration."""
        return tuple(self._items)

    def register(self, name):
        """Return a decorator that enters a class under `name`.

        Raises
        ------
        ValueError
            If the name is taken.
        """

        def enter(item):
            if name in self._items:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._items[name] = item
            return item

        return enter

    def get(self, name):
        """Return the plug-in called `name`.

        Raises
        ------
        KeyError
            If there is none.
        """
        return self._items[name]

    def values(self):
        """Return all plug-ins in their order of registration."""
        return tuple(self._items.values())
