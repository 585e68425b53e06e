"""Transfer of leadership by a leader that stops as planned."""

import asyncio

import pytest

from guavastream.control.messages import RequestVote, TakeOver
from guavastream.control.tests.test_raft import TIMING, with_group

# Well below the time that an election without a transfer takes.
MAX_GAP_SECONDS = TIMING.election_min / 2


def test_planned_stop_needs_no_election_timeout(tmp_path):
    """The leader is stopped as planned after changes were acknowledged.

    Without a transfer of leadership there is no leader until an election timeout
    has passed. No acknowledged command may be lost, and there must never be two
    leaders at a time.
    """

    async def scenario(group):
        loop = asyncio.get_running_loop()
        sent = [b"%d" % number for number in range(10)]
        for data in sent:
            await group.propose(data)
        old = await group.leader()
        began = loop.time()
        transferring = asyncio.ensure_future(group.rafts[old].transfer_leadership())
        while not [leader for leader in group.leaders() if leader != old]:
            assert len(group.leaders()) <= 1
            await asyncio.sleep(0.001)
        gap = loop.time() - began
        await transferring
        group.kill(old)
        await group.propose(b"after")
        await asyncio.sleep(0.2)
        return gap, sent, [machine.items for machine in group.machines.values()]

    gap, sent, items = with_group(tmp_path, scenario)
    assert gap < MAX_GAP_SECONDS
    assert items.count([*sent, b"after"]) >= 2


@pytest.mark.parametrize("cut", ["successor", "all"])
def test_failed_transfer_ends_in_an_election(tmp_path, cut):
    # The leader is disconnected while it stops, so its request does not arrive.
    # The others must elect a leader as after a crash.
    async def scenario(group):
        await group.propose(b"before")
        old = await group.leader()
        raft = group.rafts[old]
        successor = raft.voters[raft._choose_successor()]
        others = [a for a in group.addresses if a != old]
        for other in others if cut == "all" else [successor]:
            group.network.cut(old, other)
        await raft.transfer_leadership()
        assert not raft.is_leader
        group.kill(old)
        await group.propose(b"after")
        assert group.machines[await group.leader()].items == [b"before", b"after"]

    with_group(tmp_path, scenario)


def test_outdated_request_to_take_over_is_refused(tmp_path):
    # The request is delayed until a newer leader has been elected. It must not start
    # another election.
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
            pre_vote=False,
            leadership_transfer=True,
        )
        assert not (await raft.handle(vote)).granted
        await asyncio.sleep(1)
        assert group.leaders() == [leader] and group.rafts[leader].term == term

    with_group(tmp_path, scenario)


def test_leader_with_a_lease_refuses_a_transfer_candidate(tmp_path):
    # A candidate claims that the leader asked it to take over, but the leader is
    # still acting.
    async def scenario(group):
        leader = await group.leader()
        raft = group.rafts[leader]
        vote = RequestVote(
            to=raft.voter,
            term=raft.term + 1,
            candidate="x",
            last_index=99,
            last_term=raft.term,
            pre_vote=False,
            leadership_transfer=True,
        )
        assert not (await raft.handle(vote)).granted
        assert raft.is_leader

    with_group(tmp_path, scenario)


def test_host_that_stops_is_not_elected(tmp_path):
    """Guards against a stopping host that is elected, and costs one more election."""

    async def scenario(group):
        leader = await group.leader()
        stopping, other = (a for a in group.addresses if a != leader)
        await group.rafts[stopping].transfer_leadership()
        group.network.isolate(leader, group.addresses)
        assert await group.leader() == leader
        await asyncio.sleep(TIMING.lease + TIMING.heartbeat)
        assert await group.leader() == other
        take_over = TakeOver(
            to=group.rafts[stopping].voter, term=group.rafts[stopping].term
        )
        assert not (await group.rafts[stopping].handle(take_over)).accepted

    for number in range(8):
        with_group(tmp_path / str(number), scenario)
