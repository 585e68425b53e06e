"""Roles of the daemon, which are plug-ins."""

import abc

from guavastream.kernel.registry import Registry

__all__ = ["ROLES", "Role"]

ROLES = Registry(kind="role")


class Role(abc.ABC):
    """One of the tasks that a process takes on, depending on its settings.

    Parameters
    ----------
    node : Node
        The process, with the state that its roles share.
    """

    def __init__(self, *, node):
        self._node = node

    @classmethod
    @abc.abstractmethod
    def wanted(cls, settings):
        """Whether the settings enable this role."""

    @abc.abstractmethod
    async def start(self):
        """Start serving."""

    async def drain(self, deadline):
        """Finish the work in progress, at most until the clock reaches `deadline`."""

    async def stop(self):
        """Stop serving."""
