"""Tests of admission to the backend server."""

import threading
from array import array

import pytest

from guavastream.declare import Declaration, Preset, Service
from guavastream.emulator import make_member
from guavastream.guard import Admission
from guavastream.leases import Lease
from guavastream.routing import ClassifiedRequest, Refused, Target
from guavastream.state import Pin, ShardMap, ShardTableHolder, Table, shard_of

MEMBER_ID = 4
SERVICE = Service(
    name="s", divided_by_key=True, key="path:2", shards=4, slots=2, queue=2
)
KEY = "k"
SHARD = shard_of(KEY, 4)


def make_table(index=1, *, owner=MEMBER_ID, epoch=7, pins=None, preset=None):
    owners = array("I", [owner] * 4)
    epochs = array("Q", [epoch] * 4)
    preset = preset or Preset(name="p", slow_start_ms=0)
    return Table(
        index=index,
        declaration=Declaration(services=(SERVICE,), presets=(preset,), preset="p"),
        preset="p",
        members={MEMBER_ID: make_member(MEMBER_ID)},
        shards={"s": ShardMap(owners=owners, epochs=epochs)},
        pins={"s": pins or {}},
    )


class Rig:
    """An `Admission` with a clock that the test sets."""

    def __init__(self, **table):
        self.now = 100.0
        self.lease = Lease(clock=self.clock)
        self.lease.extend(100.5)
        self.tables = ShardTableHolder()
        self.tables.replace(make_table(**table))
        self.admission = Admission(
            lease=self.lease,
            member=lambda: MEMBER_ID,
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
            member=make_table().members[MEMBER_ID], shard=shard_of(key, 4), epoch=epoch
        )
        return self.admission.acquire(request, target)

    def refused(self, **options):
        with pytest.raises(Refused) as caught:
            self.acquire(**options)
        return caught.value.refusal.code

    def acquire_later(self, **options):
        """Acquire in a thread; return the thread and a list that gets the outcome."""
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


def test_admitted_request_is_refused_if_the_lease_ends_before_sending():
    """The process is suspended between admitting a request and sending it.

    When it resumes, its lease has ended and the key has another owner. The check
    right before sending must refuse the request.
    """
    rig = Rig()
    permit = rig.acquire()
    rig.now += 60
    with pytest.raises(Refused) as caught:
        rig.admission.check_lease(permit)
    assert caught.value.refusal.code == "no_lease"


def test_queued_request_is_refused_if_the_lease_ends_while_it_waits():
    """A request waits for a slot while the lease ends; it must not run."""
    rig = Rig()
    first = rig.acquire()
    rig.acquire()
    thread, outcome = rig.acquire_later()
    rig.now += 0.6
    rig.admission.release(first)
    thread.join()
    assert outcome == ["no_lease"]
    assert rig.admission.running == 1


def test_earliest_deadline_is_admitted_first_and_a_full_queue_refuses():
    """Two requests wait in a queue of two; a third one must be refused."""
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
def test_request_for_a_key_owned_elsewhere_is_refused(options, acquire, code):
    """A process with an outdated table sends a request to an earlier owner."""
    assert Rig(**options).refused(**acquire) == code


def test_pinned_key_is_served_while_another_member_owns_its_shard():
    """A session pins a key to this member; other keys of the shard are refused."""
    pins = {KEY: Pin(member=MEMBER_ID, epoch=3, shard=SHARD)}
    rig = Rig(owner=9, pins=pins)
    permit = rig.acquire(epoch=3)
    other = next(k for k in map(str, range(99)) if shard_of(k, 4) == SHARD)
    assert rig.refused(key=other) == "wrong_owner"
    assert not rig.admission.close_idle_key("s", KEY)
    rig.admission.release(permit)
    assert rig.admission.close_idle_key("s", KEY)
    assert rig.refused(epoch=3) == "moving"


def test_closed_shard_is_admitted_again_under_a_new_epoch():
    """A shard is released and later granted to the same member again."""
    rig = Rig()
    rig.admission.close_shards("s", [SHARD])
    assert rig.refused() == "moving"
    rig.tables.replace(make_table(2, epoch=9))
    rig.admission.reopen_shards("s", [SHARD])
    assert rig.acquire(epoch=9).epoch == 9


def test_requests_are_refused_without_a_lease_and_while_leaving():
    """Neither a member whose lease is dropped nor a leaving one may admit."""
    rig = Rig()
    rig.lease.drop()
    assert rig.refused() == "no_lease"
    rig.lease.extend(200)
    rig.admission.stop_admitting()
    assert rig.refused() == "leaving"


def test_new_server_gets_its_slots_gradually():
    """A newly started server would be overloaded by requests in all its slots."""
    rig = Rig(preset=Preset(name="p", slow_start_ms=1000))
    rig.admission.note_server_started()
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
