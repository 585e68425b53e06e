"""Follows the replicated book from one control host or another."""

import asyncio
import random

from guavastream.exception import GuavastreamError
from guavastream.kernel import part_logger
from guavastream.leases.messages import Watch

__all__ = ["BookFollower"]

# A watch returns at once when there is news; this is how long it waits else,
# and how much longer the beginning of its answer may take. That is 8 KB at the
# most; on a link that stands full even they may take longer than any fixed time,
# so the patience is doubled with each round of all control hosts.
WATCH_SECONDS = 0.6
WATCH_PATIENCE = 0.4
FIRST_WATCH_SECONDS = 0.1
FIRST_WATCH_PATIENCE = 0.1
LONGEST_PATIENCE = 1.6
RETRY_SECONDS = 0.05
# Watches that a control host answers a second while the book changes all the
# time. Each costs it some 0.2 ms of a processor, and the host that asked 0.7 ms;
# with an answer for every commit 196 hosts spent half of their time on them. A
# host that has news pauses for its share of them: 0.1 s at 200 hosts and five
# control hosts, 6 ms at 12.
ANSWERS_PER_SECOND = 400
# Pauses below this are left out, longer ones cut: half of the time in which a
# change is to be in force, less the wait of a watch.
SHORTEST_PAUSE = 0.01
LONGEST_PAUSE = 0.4
# Part of the pause that a request which waits for news cuts it to.
URGENT_PAUSE_SHARE = 0.25
# Failures in a row after which the seeds of the settings are asked too.
FAILURES_TO_RESEED = 3

log = part_logger("host")


class BookFollower:
    """Keeps the copy of the book in one process up to date.

    Parameters
    ----------
    control : ControlClient
        Reaches the control hosts.
    books : TableHolder
        The copy.
    seeds : tuple of str
        Control hosts of the settings, asked when the known ones are silent.
    on_change : callable
        Told the book before and the book after each change.
    count : callable, optional
        Counts an event by name.
    """

    def __init__(
        self, *, control, books, seeds, on_change, count=lambda name, number=1: None
    ):
        self.seeds = seeds
        self._control = control
        self._books = books
        self._on_change = on_change
        self._count = count
        self._loop = asyncio.get_running_loop()
        self._answered_at = self._started_at = self._loop.time()

    async def run(self):
        """Follow until cancelled."""
        failures = random.randrange(len(self.seeds) or 1)
        in_a_row = 0
        while True:
            wait, patience = WATCH_SECONDS, WATCH_PATIENCE
            if not self._books.table.config.version:
                # Callers are refused until there is a book; control hosts that
                # were lost together come back one after the other.
                wait, patience = FIRST_WATCH_SECONDS, FIRST_WATCH_PATIENCE
            rounds = in_a_row // len(self._control.addresses)
            patience = min(patience * 2**rounds, LONGEST_PATIENCE)
            request = Watch(index=self._books.table.index, wait=wait)
            try:
                answer = await self._control.call_any(
                    failures, request, timeout=wait + patience
                )
            except GuavastreamError as error:
                failures += 1
                in_a_row += 1
                self._note_failure(error)
                if in_a_row == FAILURES_TO_RESEED:
                    log.info("Control hosts are out of reach: %s.", error)
                if in_a_row % FAILURES_TO_RESEED == 0:
                    self._control.learn(
                        dict.fromkeys((*self._control.addresses, *self.seeds))
                    )
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if in_a_row >= FAILURES_TO_RESEED:
                log.info("Control hosts are in reach again.")
            in_a_row = 0
            self._control.learn(answer.hosts)
            if self._take(answer):
                await self._pause()

    def _note_failure(self, error):
        self._count("watch_failures")
        log.info(
            "The book after %d did not come: %s.",
            self._books.table.index,
            error,
            extra={"silent_ms": round((self._loop.time() - self._answered_at) * 1e3)},
        )

    def _take(self, answer):
        """Take an answer; return whether it brought news."""
        self._answered_at = self._loop.time()
        before = self._books.table
        self._books.take(answer.table, answer.commands)
        if self._books.table is before:
            return False
        if not before.index:
            took_ms = round((self._loop.time() - self._started_at) * 1e3)
            log.info(
                "The first book is at %d.",
                self._books.table.index,
                extra={"took_ms": took_ms, "bytes": len(answer.table)},
            )
        self._count("book_answers")
        self._count("book_changes", len(answer.commands))
        self._on_change(before, self._books.table)
        return True

    async def _pause(self):
        """Let changes gather, so that one answer brings them all.

        The work of all hosts would else grow with hosts times changes. A request
        that waits for the new owner of its key ends the pause.
        """
        share = len(self._books.table.instances) / len(self._control.addresses)
        pause = min(share / ANSWERS_PER_SECOND, LONGEST_PAUSE)
        if pause < SHORTEST_PAUSE:
            return
        urgent = pause * URGENT_PAUSE_SHARE
        await asyncio.sleep(urgent)
        await self._books.wait_wanted(pause - urgent)
