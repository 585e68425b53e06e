"""What the guard lets pass, and when it changes its mind."""

import threading
from array import array

import pytest

from guavastream.declare import Declaration, Preset, Service
from guavastream.emulator import make_member
from guavastream.guard import Admission
from guavastream.leases import Lease
from guavastream.routing import ClassifiedRequest, Refused, Target
from guavastream.state import Pin, ShardMap, ShardTableHolder, Table, shard_of

ME = 4
SERVICE = Service(
    name="s", divided_by_key=True, key="path:2", shards=4, slots=2, queue=2
)
KEY = "k"
SHARD = shard_of(KEY, 4)


def make_table(index=1, *, owner=ME, epoch=7, pins=None, preset=None):
    owners = array("I", [owner] * 4)
    epochs = array("Q", [epoch] * 4)
    preset = preset or Preset(name="p", slow_start_ms=0)
    return Table(
        index=index,
        declaration=Declaration(services=(SERVICE,), presets=(preset,), preset="p"),
        preset="p",
        members={ME: make_member(ME)},
        shards={"s": ShardMap(owners=owners, epochs=epochs)},
        pins={"s": pins or {}},
    )


class Rig:
    """An admission with a clock that only the test moves."""

    def __init__(self, **table):
        self.now = 100.0
        self.lease = Lease(clock=self.clock)
        self.lease.extend(100.5)
        self.tables = ShardTableHolder()
        self.tables.replace(make_table(**table))
        self.admission = Admission(
            lease=self.lease,
            member=lambda: ME,
            tables=self.tables,
            clock=self.clock,
        )

    def clock(self):
        return self.now

    def acquire(self, *, key=KEY, seconds=5.0, epoch=7, priority="normal"):
        request = ClassifiedRequest(
            id="r",
            service=SERVICE,
            key=key,
            idempotent=True,
            deadline=self.now + seconds,
            priority=priority,
        )
        target = Target(
            member=make_table().members[ME], shard=shard_of(key, 4), epoch=epoch
        )
        return self.admission.acquire(request, target)

    def refused(self, **options):
        with pytest.raises(Refused) as caught:
            self.acquire(**options)
        return caught.value.refusal.code

    def acquire_later(self, **options):
        """Acquire in a thread; return it and the list that gets the outcome."""
        outcome = []

        def run():
            try:
                outcome.append(self.acquire(**options))
            except Refused as refused:
                outcome.append(refused.refusal.code)

        queued = self.admission.queued
        thread = threading.Thread(target=run)
        thread.start()
        while self.admission.queued == queued and thread.is_alive():
            pass
        return thread, outcome


def test_request_in_hand_of_a_frozen_process_is_not_sent():
    """The process freezes between admitting a request and sending it.

    When it goes on, its lease has run out and the key has another owner; the
    last look at the clock, with the connection standing, must refuse it.
    """
    rig = Rig()
    permit = rig.acquire()
    rig.now += 60
    with pytest.raises(Refused) as caught:
        rig.admission.check_again(permit)
    assert caught.value.refusal.code == "no_lease"


def test_wait_in_the_queue_past_the_lease_ends_as_not_run():
    """A request waits for a slot while the lease runs out."""
    rig = Rig()
    first = rig.acquire()
    rig.acquire()
    thread, outcome = rig.acquire_later()
    rig.now += 0.6
    rig.admission.release(first)
    thread.join()
    assert outcome == ["no_lease"]
    assert rig.admission.running == 1


def test_earliest_deadline_goes_first_and_the_queue_is_bounded():
    rig = Rig()
    first = rig.acquire()
    rig.acquire()
    late_thread, late = rig.acquire_later(seconds=9)
    soon_thread, soon = rig.acquire_later(seconds=5)
    assert rig.refused(seconds=10) == "overloaded"
    rig.admission.release(first)
    soon_thread.join()
    assert not late
    rig.admission.release(soon[0])
    late_thread.join()
    assert rig.admission.running == 2


@pytest.mark.parametrize(
    ("options", "acquire", "code"),
    [
        ({"owner": 9}, {}, "wrong_owner"),
        ({}, {"epoch": 6}, "wrong_owner"),
        ({"pins": {KEY: Pin(member=9, epoch=3, shard=SHARD)}}, {}, "wrong_owner"),
    ],
)
def test_what_is_not_owned_here_is_refused(options, acquire, code):
    """A door with an older table sends a request to an earlier owner."""
    assert Rig(**options).refused(**acquire) == code


def test_pinned_key_is_served_though_its_shard_is_anothers():
    """A session keeps its key here; only that key, not its shard's others."""
    pins = {KEY: Pin(member=ME, epoch=3, shard=SHARD)}
    rig = Rig(owner=9, pins=pins)
    permit = rig.acquire(epoch=3)
    other = next(k for k in map(str, range(99)) if shard_of(k, 4) == SHARD)
    assert rig.refused(key=other) == "wrong_owner"
    assert not rig.admission.close_key("s", KEY)
    rig.admission.release(permit)
    assert rig.admission.close_key("s", KEY)
    assert rig.refused(epoch=3) == "moving"


def test_closed_shard_reopens_only_under_a_new_epoch():
    rig = Rig()
    rig.admission.close_shards("s", [SHARD])
    assert rig.refused() == "moving"
    rig.tables.replace(make_table(2, epoch=9))
    rig.admission.reopen("s", [SHARD])
    assert rig.acquire(epoch=9).epoch == 9


def test_leaving_server_gets_nothing_and_a_lost_lease_neither():
    rig = Rig()
    rig.lease.drop()
    assert rig.refused() == "no_lease"
    rig.lease.extend(200)
    rig.admission.stop_admitting()
    assert rig.refused() == "leaving"


def test_cold_server_comes_to_its_slots_slowly():
    """A server that just announced itself would choke on a full load."""
    rig = Rig(preset=Preset(name="p", slow_start_ms=1000))
    rig.admission.started()
    rig.acquire()
    thread, outcome = rig.acquire_later()
    rig.lease.extend(200)
    rig.now += 1.0
    assert not outcome
    rig.admission.release(rig.admission and _first_permit())
    thread.join()
    assert outcome


def _first_permit():
    from guavastream.guard import Permit

    return Permit(service="s", key=KEY, shard=SHARD, epoch=7)
