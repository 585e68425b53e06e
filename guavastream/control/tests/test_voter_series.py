"""Drawn series of losses, returns and replacements of control hosts.

Whenever no control host counts as lost, any two disks may be lost, and whenever one
does, any one more: a leader is elected within the recovery time, and what was
acknowledged is in force.
"""

import asyncio
import tempfile
import warnings
from pathlib import Path

from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from guavastream.control.tests.voter_rig import LOSSES, ControlGroup, Fault
from guavastream.emulator import paused_runner

SERIES = settings(
    max_examples=12,
    stateful_step_count=25,
    derandomize=True,
    database=None,
    deadline=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
FAULTS = st.sampled_from(Fault)
PICKS = st.integers(0, 9)


class VoterSeries(RuleBasedStateMachine):
    """Control hosts under faults, at most as many at a time as may be lost."""

    def __init__(self):
        super().__init__()
        self._folder = tempfile.TemporaryDirectory()
        self._runner = paused_runner()
        self._group = None

    def _run(self, coroutine):
        with warnings.catch_warnings():
            warnings.simplefilter("ignore")
            return self._runner.run(coroutine)

    def _lost_count(self):
        async def count():
            return self._group.lost_count

        return self._run(count())

    def _may_lose_one(self):
        return self._lost_count() < LOSSES and bool(self._group.present())

    @initialize(seed=st.integers(0, 999))
    def form(self, seed):
        self._group = ControlGroup(Path(self._folder.name), seed=seed)
        self._run(self._group.start())

    @rule(seconds=st.sampled_from([0.05, 0.3, 0.8, 1.5, 4.0]))
    def wait(self, seconds):
        self._run(asyncio.sleep(seconds))

    @rule()
    def change(self):
        self._run(self._group.change())

    @precondition(_may_lose_one)
    @rule(pick=PICKS, fault=FAULTS)
    def strike(self, pick, fault):
        self._run(self._group.strike(_choose(self._group.present(), pick), fault))

    @precondition(lambda self: self._group.away())
    @rule(pick=PICKS, empty=st.booleans())
    def end_fault(self, pick, empty):
        position = _choose(self._group.away(), pick)
        self._run(self._group.end_fault(position, empty=empty))

    @precondition(_may_lose_one)
    @rule(pick=PICKS, dark=st.booleans())
    def lose_for_good(self, pick, dark):
        position = _choose(self._group.present(), pick)
        self._run(self._group.lose_for_good(position, dark=dark))

    @rule(
        picks=st.permutations(range(5)),
        fault=FAULTS,
        dark=st.booleans(),
        seconds=st.sampled_from([0.0, 1.1]),
        power=st.booleans(),
    )
    def lose_two(self, picks, fault, dark, seconds, power):
        """Give one host a fault, replace another meanwhile, then lose two disks."""
        present = self._group.present()
        if self._lost_count() or len(present) < len(picks):
            return
        away, gone = (present[pick] for pick in picks[:2])
        self._run(self._group.strike(away, fault))
        self.wait(seconds)
        self._run(self._group.lose_for_good(gone, dark=dark))
        self.wait(1.0)
        if gone.member is None:
            self._run(self._group.start_successor(gone))
        self.wait(2.0)
        self._run(self._group.end_fault(away))
        self._run(self._lose_disks(picks[2:], False, LOSSES, power))

    @rule(
        pick=PICKS,
        how=st.sampled_from(["stopped", "killed", "dark"]),
        leader=st.booleans(),
        power=st.booleans(),
    )
    def replace_and_lose_disks(self, pick, how, leader, power):
        """Replace a host by one that has caught up, then lose two disks at once."""
        group = self._group
        free = [p for p in group.present() if p.successor is None]
        if self._lost_count() or not free:
            return
        position = _choose(free, pick)
        self._run(group.start_successor(position))
        self.wait(4.1)
        if how == "stopped":
            self._run(group.finish_planned_replacement(position))
        else:
            self._run(group.lose_for_good(position, dark=how == "dark"))
        self._run(self._lose_disks(range(5), leader, LOSSES, power))

    @precondition(lambda self: self._group.away())
    @rule(pick=PICKS)
    def lose_for_good_what_is_away(self, pick):
        position = _choose(self._group.away(), pick)
        self._run(self._group.lose_for_good(position, dark=True))

    @precondition(lambda self: self._group.vacant())
    @rule(pick=PICKS)
    def replace(self, pick):
        position = _choose(self._group.vacant(), pick)
        self._run(self._group.start_successor(position))

    @rule(pick=PICKS)
    def start_successor(self, pick):
        free = [p for p in self._group.present() if p.successor is None]
        if free:
            self._run(self._group.start_successor(_choose(free, pick)))

    @precondition(lambda self: any(p.successor for p in self._group.present()))
    @rule(pick=PICKS)
    def finish_planned_replacement(self, pick):
        waiting = [p for p in self._group.present() if p.successor]
        position = _choose(waiting, pick)
        if self._may_lose_one() or self._is_caught_up(position.successor):
            self._run(self._group.finish_planned_replacement(position))

    def _is_caught_up(self, member):
        async def check():
            return member.sound_at <= self._group.now

        return self._run(check())

    @rule(
        picks=st.permutations(range(5)),
        leader=st.booleans(),
        disks=st.integers(1, LOSSES),
        power=st.booleans(),
    )
    def lose_disks(self, picks, leader, disks, power):
        self._run(self._lose_disks(picks, leader, disks, power))

    async def _lose_disks(self, picks, leader, disks, power):
        group = self._group
        disks = min(disks, LOSSES - len(group.away()) - len(group.vacant()))
        if disks <= 0:
            return
        await group.wait_until_allowed(disks)
        present = group.present()
        chosen = [present[pick] for pick in picks if pick < len(present)]
        if leader:
            chosen.sort(key=group.leads, reverse=True)
        await group.lose_disks(chosen[:disks], power=power)
        await group.check_recovery()

    @invariant()
    def tasks_run(self):
        if self._group:
            self._group.check_tasks()

    def teardown(self):
        async def stop():
            self._group.stop()

        try:
            if self._group:
                self._run(stop())
        finally:
            self._runner.close()
            self._folder.cleanup()


def _choose(items, pick):
    return items[pick % len(items)]


def test_disks_are_lost_at_the_first_moment_allowed():
    """Guards against voters that do not follow the losses of control hosts."""
    run_state_machine_as_test(VoterSeries, settings=SERIES)
