"""Evacuations of availability zones, as kept in the fleet state."""

from guavastream.kernel import record

__all__ = ["ZoneEvacuation"]


@record
class ZoneEvacuation:
    """The newest evacuation of an availability zone.

    While it is active, the backend servers of the zone get no new requests or keys.

    Parameters
    ----------
    active : bool
        Whether it is in force.
    started : int
        Log index of the command that started it.
    ended : int
        Log index of the command that last ended an evacuation of the zone; 0 if none
        was ended yet.

    Examples
    --------
    >>> ZoneEvacuation(active=False, started=4, ended=9).newest
    9
    """

    active: bool
    started: int
    ended: int = 0

    @property
    def newest(self):
        """Log index of the newest command for the zone."""
        return max(self.started, self.ended)
