"""A leader that stops as planned: the next one leads before it is gone."""

import asyncio

import pytest

from guavastream.control.messages import RequestVote, TakeOver
from guavastream.control.tests.test_raft import TIMING, with_group

# Well below the time without a leader that an election takes.
SOON = TIMING.election_min / 2


def test_a_stopping_leader_is_succeeded_without_an_election_timeout(tmp_path):
    """A control host is restarted as planned while operators send changes.

    Without a hand-over nobody leads until the others have missed heartbeats
    for a whole election timeout. Nothing acknowledged may be lost, and the
    old leader must have stopped acting before the next one begins.
    """

    async def scenario(group):
        loop = asyncio.get_running_loop()
        sent = [b"%d" % number for number in range(10)]
        for data in sent:
            await group.propose(data)
        old = await group.leader()
        began = loop.time()
        handing = asyncio.ensure_future(group.rafts[old].hand_over())
        while not [leader for leader in group.leaders() if leader != old]:
            assert len(group.leaders()) <= 1
            await asyncio.sleep(0.001)
        gap = loop.time() - began
        await handing
        group.kill(old)
        await group.propose(b"after")
        await asyncio.sleep(0.2)
        return gap, sent, [machine.items for machine in group.machines.values()]

    gap, sent, items = with_group(tmp_path, scenario)
    assert gap < SOON
    assert items.count([*sent, b"after"]) >= 2


@pytest.mark.parametrize("cut", ["successor", "all"])
def test_a_hand_over_that_fails_ends_in_an_election(tmp_path, cut):
    # The leader is cut off as it stops: its word reaches nobody, and the
    # others elect a leader as after a crash.
    async def scenario(group):
        await group.propose(b"before")
        old = await group.leader()
        raft = group.rafts[old]
        successor = raft.voters[raft._successor()]
        others = [a for a in group.addresses if a != old]
        for other in others if cut == "all" else [successor]:
            group.network.cut(old, other)
        await raft.hand_over()
        assert not raft.is_leader
        group.kill(old)
        await group.propose(b"after")
        assert group.machines[await group.leader()].items == [b"before", b"after"]

    with_group(tmp_path, scenario)


def test_a_late_request_to_take_over_changes_nothing(tmp_path):
    # It was held up; meanwhile a newer leader was elected.
    async def scenario(group):
        leader = await group.leader()
        term = group.rafts[leader].term
        follower = next(a for a in group.addresses if a != leader)
        raft = group.rafts[follower]
        late = TakeOver(to=raft.voter, term=term - 1)
        assert not (await raft.handle(late)).accepted
        vote = RequestVote(
            to=raft.voter,
            term=term,
            candidate="x",
            last_index=99,
            last_term=term,
            pre=False,
            handed=True,
        )
        assert not (await raft.handle(vote)).granted
        await asyncio.sleep(1)
        assert group.leaders() == [leader] and group.rafts[leader].term == term

    with_group(tmp_path, scenario)


def test_a_leader_with_a_lease_ignores_the_successor_of_an_earlier_one(tmp_path):
    async def scenario(group):
        leader = await group.leader()
        raft = group.rafts[leader]
        vote = RequestVote(
            to=raft.voter,
            term=raft.term + 1,
            candidate="x",
            last_index=99,
            last_term=raft.term,
            pre=False,
            handed=True,
        )
        assert not (await raft.handle(vote)).granted
        assert raft.is_leader

    with_group(tmp_path, scenario)
