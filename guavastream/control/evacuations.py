"""Orders of operators to evacuate availability zones, decided by the leader."""

from guavastream.exception import NotReady
from guavastream.fleet import encode_command
from guavastream.kernel import part_logger, replace

__all__ = ["EvacuationManager"]

log = part_logger("control")


class EvacuationManager:
    """Commits the orders that start and end evacuations of availability zones.

    Parameters
    ----------
    raft : Raft
        Commits the orders.
    machine : TableStateMachine
        Keeps the fleet state.
    clock : callable
        Monotonic time in seconds, including time while suspended.
    resend_seconds : float
        How long operators may resend an order that was not acknowledged.

    Notes
    -----
    Orders carry no identity. An order that asks for what is already in force is
    acknowledged again. One that would bring back what a later order has ended may be
    a late copy: if an order of the same kind was committed less than
    `resend_seconds` ago, nothing is changed and the operator is told to try again.
    After that time an operator no longer resends the earlier order, so the order is
    a new one. A leader does not know when its predecessor committed orders, and
    counts from the start of its own term.
    """

    def __init__(self, *, raft, machine, clock, resend_seconds):
        self._raft = raft
        self._machine = machine
        self._clock = clock
        self._resend_seconds = resend_seconds
        self._term = 0
        self._term_started_at = 0.0
        self._committed_at = {}

    async def submit(self, command):
        """Commit a `SetEvacuation` and return its result.

        Raises
        ------
        NotReady
            If the order may be a late copy of one that a later order has overtaken.
        """
        self._ensure_term()
        known = self._machine.table.evacuations.get(command.zone)
        changes = self._machine.table.is_evacuated(command.zone) != command.active
        if changes and self._may_be_late_copy(command, known):
            raise NotReady("An earlier order for this zone may still be resent.")
        command = replace(command, base=known.newest if known else 0)
        result = await self._raft.propose(encode_command(command))
        if not result.done:
            raise NotReady("Another order for this zone was committed meanwhile.")
        if changes:
            self._committed_at[command.zone, command.active] = self._clock()
            log.info(
                "The evacuation of availability zone %s has %s.",
                command.zone,
                "begun" if command.active else "ended",
            )
        return result

    def _may_be_late_copy(self, command, known):
        """Whether an order of the same kind was committed shortly before."""
        if known is None or not (known.started if command.active else known.ended):
            return False
        committed_at = self._committed_at.get(
            (command.zone, command.active), self._term_started_at
        )
        return self._clock() - committed_at < self._resend_seconds

    def _ensure_term(self):
        """Forget the times of earlier terms, in which others may have led between."""
        if self._term != self._raft.term:
            self._term = self._raft.term
            self._term_started_at = self._clock()
            self._committed_at = {}
