"""How long backend servers may hold keys."""

from dataclasses import dataclass

from guavastream.leases.keys import DRIFT, MARGIN_SECONDS

__all__ = ["HoldTiming"]


@dataclass(frozen=True, kw_only=True)
class HoldTiming:
    """Times of holds, seconds.

    Parameters
    ----------
    hold : float
        How long keys are held without another heartbeat.
    silent : float
        Silence after which a server without keys is forgotten.
    settle : float
        Wait for further servers before keys are handed out the first time.
    """

    hold: float = 3.0
    silent: float = 12.0
    settle: float = 1.5

    @classmethod
    def of_heartbeat(cls, interval, longest):
        """Return the times for servers that send a heartbeat each `interval`.

        A hold bears two lost heartbeats and a failover; a lost server's keys
        wait for its end, so it is not longer.
        """
        hold = min(max(2.8, 2.4 * interval), longest * 0.9)
        return cls(hold=hold, silent=max(12.0, 8 * interval), settle=1.3 * interval)

    @property
    def kept(self):
        """How long after a heartbeat came its sender may still hold keys."""
        return self.hold * (1 + DRIFT) + MARGIN_SECONDS
