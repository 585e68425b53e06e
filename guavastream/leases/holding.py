"""Durations for which backend servers may hold keys."""

from dataclasses import dataclass

from guavastream.leases.keys import MAX_CLOCK_DRIFT, TIMER_MARGIN_SECONDS

__all__ = ["HoldTiming"]


@dataclass(frozen=True, kw_only=True)
class HoldTiming:
    """Durations related to holding keys, in seconds.

    Parameters
    ----------
    hold : float
        How long a server may hold its keys after a heartbeat.
    silent : float
        Time without a heartbeat after which a server without keys is removed.
    initial_wait : float
        How long to wait for further servers before keys are first assigned.
    """

    hold: float = 3.0
    silent: float = 12.0
    initial_wait: float = 1.5

    @classmethod
    def from_heartbeat_interval(cls, interval, max_hold):
        """Return the durations for servers that send a heartbeat each `interval`.

        The hold survives two lost heartbeats and a failover of the leader. It is no
        longer than that, because the keys of a lost server cannot be reassigned
        before its hold has expired.
        """
        hold = min(max(2.8, 2.4 * interval), max_hold * 0.9)
        return cls(
            hold=hold, silent=max(12.0, 8 * interval), initial_wait=1.3 * interval
        )

    @property
    def grantor_duration(self):
        """How long after a heartbeat's arrival its sender may still hold keys.

        It is `hold` plus the drift of a slow clock and a margin for timers.
        """
        return self.hold * (1 + MAX_CLOCK_DRIFT) + TIMER_MARGIN_SECONDS
