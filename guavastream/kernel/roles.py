"""Roles of the daemon; each is a plug-in that registers itself."""

import abc

from guavastream.kernel.registry import Registry

__all__ = ["ROLES", "Role"]

ROLES = Registry(kind="role")


class Role(abc.ABC):
    """One thing that a process does.

    Parameters
    ----------
    node : Node
        The process, with all that its roles share.
    """

    def __init__(self, *, node):
        self._node = node

    @classmethod
    @abc.abstractmethod
    def wanted(cls, settings):
        """Whether the settings ask for this role."""

    @abc.abstractmethod
    async def start(self):
        """Begin to serve."""

    async def drain(self, deadline):
        """Bring work in progress to its end, until the clock's `deadline`."""

    async def stop(self):
        """Stop serving."""
