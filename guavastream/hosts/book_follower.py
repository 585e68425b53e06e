"""Follows the replicated book from one control host or another."""

import asyncio
import random

from guavastream.exception import BadMessage, GuavastreamError
from guavastream.kernel import part_logger
from guavastream.leases import HedgedWatch, Watch

__all__ = ["BookFollower"]

# A watch returns at once when there is news; this is how long it waits else,
# and how much longer the beginnings of answers may take once all control hosts
# were asked. They are 8 KB at the most; on a link that stands full even they may
# take longer than any fixed time, so the patience is doubled with each round.
WATCH_SECONDS = 0.6
WATCH_PATIENCE = 0.4
FIRST_WATCH_SECONDS = 0.1
LONGEST_PATIENCE = 1.6
MOST_DOUBLINGS = 6
# Least pause between two rounds in which no control host answered.
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
# Rounds without an answer after which the seeds of the settings are asked too.
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
    observe : callable, optional
        Takes the name of a duration and its seconds.
    """

    def __init__(
        self,
        *,
        control,
        books,
        seeds,
        on_change,
        count=lambda name, number=1: None,
        observe=lambda name, seconds: None,
    ):
        self.seeds = seeds
        self._control = control
        self._books = books
        self._on_change = on_change
        self._count = count
        self._observe = observe
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._unreadable = ""
        first = random.randrange(len(seeds) or 1)
        self._watch = HedgedWatch(
            control=control, first=control.addresses[first % len(control.addresses)]
        )

    async def run(self):
        """Follow until cancelled."""
        failures = 0
        while True:
            try:
                answer = await self._ask(failures)
                has_news = self._take(answer)
            except BadMessage as error:
                # What one control host sends may be read at another; ending here
                # would end the requests of this host for nothing.
                failures += 1
                self._note_unreadable(error)
                self._watch.avoid()
                await asyncio.sleep(self._rest(failures))
                continue
            except GuavastreamError as error:
                failures += 1
                self._note_failure(error, failures)
                await asyncio.sleep(self._rest(failures))
                continue
            if failures >= FAILURES_TO_RESEED:
                log.info("Control hosts are in reach again.")
            failures = 0
            self._control.update_addresses(answer.hosts)
            if has_news:
                await self._pause()

    async def _ask(self, failures):
        """Return the answer of a control host that hears a leader."""
        wait = WATCH_SECONDS
        if not self._books.table.config.version:
            # Callers are refused until there is a book; control hosts that
            # were lost together come back one after the other.
            wait = FIRST_WATCH_SECONDS
        if failures:
            wait = 0.0
        request = Watch(index=self._books.table.index, wait=wait)
        doublings = min(failures, MOST_DOUBLINGS)
        final_wait = min(WATCH_PATIENCE * 2**doublings, LONGEST_PATIENCE)
        return await self._watch.ask(request, final_wait=final_wait)

    def _note_unreadable(self, error):
        """Say what was wrong with an answer, the same thing once."""
        self._count("unreadable_answers")
        text = str(error)
        if text != self._unreadable:
            self._unreadable = text
            log.error("Control host %s: %s.", self._watch.first, text)

    def _note_failure(self, error, failures):
        self._count("watch_failures")
        since = max(self._books.confirmed_at, self._started_at)
        silent = self._loop.time() - since
        log.info(
            "The book after %d did not come: %s.",
            self._books.table.index,
            error,
            extra={"silent_ms": round(silent * 1e3)},
        )
        if failures == FAILURES_TO_RESEED:
            log.info("Control hosts are out of reach: %s.", error)
        if failures % FAILURES_TO_RESEED == 0:
            self._control.update_addresses(
                dict.fromkeys((*self._control.addresses, *self.seeds))
            )

    def _rest(self, failures):
        """Return the pause after rounds in which no control host knew anything.

        While no leader is elected each of them says so at once: without a pause
        that grows all hosts would do nothing but ask all control hosts.
        """
        share = len(self._books.table.instances) / ANSWERS_PER_SECOND
        doublings = min(failures - 1, MOST_DOUBLINGS)
        rest = max(share, RETRY_SECONDS * 2**doublings)
        return min(rest, LONGEST_PAUSE) * random.uniform(0.75, 1.0)

    def _take(self, answer):
        """Take an answer; return whether it brought news."""
        before = self._books.table
        self._books.apply_update(answer.table, answer.commands)
        has_news = self._books.table is not before
        if not has_news and self._watch.answered_early:
            # One that has gone back knows less than this host, and would be
            # asked again without end.
            raise BadMessage("no news, though the wait was not over")
        self._confirm(answer, before)
        if not has_news:
            return False
        self._count("book_answers")
        self._count("book_changes", len(answer.commands))
        self._on_change(before, self._books.table)
        return True

    def _confirm(self, answer, before):
        """Note that the book is as new as a control host knows it."""
        now = self._loop.time()
        if before.index:
            self._observe("book_confirmed", now - self._books.confirmed_at)
        else:
            log.info(
                "The first book is at %d.",
                self._books.table.index,
                extra={
                    "took_ms": round((now - self._started_at) * 1e3),
                    "bytes": len(answer.table),
                },
            )
        self._books.confirmed_at = now

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
        await self._books.wait_until_requested(pause - urgent)
