"""Tests the retry rules against random faults, without sockets."""

from array import array
from types import SimpleNamespace

from hypothesis import given, settings, strategies as st

from guavastream.declare import Declaration, Service
from guavastream.door import Forwarder
from guavastream.emulator import make_member
from guavastream.kernel import make_metrics
from guavastream.routing import (
    AttemptState,
    Chooser,
    ClassifiedRequest,
    Refused,
    RunStatus,
)
from guavastream.state import ShardMap, ShardTableHolder, Table
from guavastream.web import AttemptFailed

SERVICE = Service(name="s")
MEMBERS = 3
# Results of an attempt: whether the request runs, and the error that the door gets.
FATES = {
    "answered": (True, None),
    "answer lost": (True, AttemptFailed(AttemptState.SENT, "answer_lost")),
    "never arrived": (False, AttemptFailed(AttemptState.SENT, "no_answer")),
    "not sent": (False, AttemptFailed(AttemptState.NOT_SENT, "unreachable")),
    "overloaded": (False, Refused("overloaded")),
    "server refused": (False, Refused("server_refused")),
    "leaving": (False, Refused("leaving")),
}


class FakeGuards:
    """Fakes the guards behind all doors.

    Each attempt ends with the next result of `fates`; once these are used up,
    attempts are answered.
    """

    def __init__(self, fates):
        self.fates = list(fates)
        self.runs = 0
        self.attempts = 0

    def attempt(self, *args, **kwargs):
        self.attempts += 1
        fate = self.fates.pop(0) if self.fates else "answered"
        runs, error = FATES[fate]
        self.runs += runs
        if error is not None:
            raise error
        return SimpleNamespace(status=200)


class SteppingClock:
    """A clock that advances by 10 ms with each reading."""

    now = 0.0

    def __call__(self):
        self.now += 0.01
        return self.now


def make_forwarder(guards):
    tables = ShardTableHolder()
    members = {n: make_member(n) for n in range(1, MEMBERS + 1)}
    shards = ShardMap(owners=array("I", [1]), epochs=array("Q", [1]))
    tables.replace(
        Table(
            index=1,
            declaration=Declaration(services=(SERVICE,)),
            members=members,
            shards={"s": shards},
        )
    )
    tables.wait_in_thread = lambda index, timeout: True
    clock = SteppingClock()
    forwarder = Forwarder(
        tables=tables,
        chooser=Chooser(zone="z", clock=clock),
        sender=None,
        get_guard=lambda: None,
        get_member_id=lambda: 0,
        clock=clock,
        metrics=make_metrics(""),
    )
    forwarder._send_to_door = guards.attempt
    return forwarder


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    fates=st.lists(st.sampled_from(sorted(FATES)), max_size=12),
    idempotent=st.booleans(),
    replayable=st.booleans(),
)
def test_callers_are_told_the_truth_whatever_befalls(fates, idempotent, replayable):
    """Attempts are answered, lost before or after they ran, or refused.

    However it goes: what is told "not run" has not run, what must not repeat
    has run at most once, and a lost answer is never told as one that came.
    """
    guards = FakeGuards(fates)
    request = ClassifiedRequest(
        id="r",
        service=SERVICE,
        key="",
        idempotent=idempotent,
        deadline=5.0,
        priority="normal",
    )
    exchange = SimpleNamespace(header=lambda name: "", gone=False)
    body = SimpleNamespace(replayable=replayable, headers=[], content=lambda: None)
    try:
        make_forwarder(guards).run(exchange, request, body, {})
        ran = RunStatus.ANSWERED
    except Refused as refused:
        ran = refused.reported_run_status(request.operation)
    if ran is RunStatus.NOT_RUN:
        assert guards.runs == 0
    if ran is RunStatus.ANSWERED:
        assert guards.runs >= 1
    if not idempotent:
        assert guards.runs <= 1
    if not replayable:
        assert guards.attempts == 1
