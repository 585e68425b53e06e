"""Promises that one voter keeps, asked of it directly."""

import asyncio
import random

import pytest

from guavastream.control import Entry, Raft, RaftTiming, StateMachine, Storage
from guavastream.control.messages import AppendEntries, RequestVote
from guavastream.emulator import FakeNetwork, run_paused
from guavastream.exception import PeerFailure

TIMING = RaftTiming()
SILENCE = TIMING.election_min + 0.001
ADDRESS = "10.0.0.1:1"


def make_voter(folder, *, entries=()):
    storage = Storage(folder=str(folder))
    storage.save_meta(term=3, voters={storage.meta.voter: ADDRESS, "b": "b", "c": "c"})
    storage.append(list(entries))
    return Raft(
        storage=storage,
        transport=FakeNetwork().transport(ADDRESS),
        address=ADDRESS,
        peers=(ADDRESS, "b", "c"),
        machine=StateMachine(),
        rng=random.Random(1),
    )


def ask(raft, candidate, *, term=5, index=9, index_term=3, pre=False):
    return RequestVote(
        to=raft.voter,
        term=term,
        candidate=candidate,
        last_index=index,
        last_term=index_term,
        pre=pre,
    )


def test_one_vote_in_a_term_also_after_a_restart(tmp_path):
    """Two candidates ask the same voter in one term; it restarts in between.

    With both votes two leaders could be elected in that term.
    """

    async def scenario():
        raft = make_voter(tmp_path)
        await asyncio.sleep(SILENCE)
        assert (await raft.handle(ask(raft, "b"))).granted
        again = Raft(
            storage=Storage(folder=str(tmp_path)),
            transport=FakeNetwork().transport(ADDRESS),
            address=ADDRESS,
            peers=(),
            machine=StateMachine(),
        )
        await asyncio.sleep(SILENCE)
        assert not (await again.handle(ask(again, "c"))).granted
        await asyncio.sleep(SILENCE)
        assert (await again.handle(ask(again, "b"))).granted

    run_paused(scenario())


def test_no_vote_for_a_candidate_that_lacks_entries(tmp_path):
    """A candidate without what this voter acknowledged must not lead.

    As the leader it would replace those entries by its own.
    """

    async def scenario():
        entries = [Entry(index=n, term=3) for n in (1, 2, 3)]
        raft = make_voter(tmp_path, entries=entries)
        await asyncio.sleep(SILENCE)
        assert not (await raft.handle(ask(raft, "b", index=2))).granted
        assert not (
            await raft.handle(ask(raft, "b", index=9, index_term=2, pre=True))
        ).granted

    run_paused(scenario())


@pytest.mark.parametrize("restarted", [False, True])
def test_no_vote_while_a_leader_may_rely_on_its_lease(tmp_path, restarted):
    """A voter that just heard from a leader is asked for its vote.

    The leader counts on its silence and still renews leases. A voter that
    restarted cannot know what it promised and counts from its start.
    """

    async def scenario():
        raft = make_voter(tmp_path)
        if not restarted:
            await asyncio.sleep(5)
            heartbeat = AppendEntries(
                to=raft.voter,
                term=4,
                leader="b",
                leader_address="b",
                previous=0,
                previous_term=0,
                commit=0,
            )
            assert (await raft.handle(heartbeat)).success
        await asyncio.sleep(TIMING.election_min - 0.01)
        for pre in (True, False):
            assert not (await raft.handle(ask(raft, "c", pre=pre))).granted
        await asyncio.sleep(0.02)
        assert (await raft.handle(ask(raft, "c"))).granted

    run_paused(scenario())


def test_entry_of_an_earlier_term_is_not_committed_by_counting(tmp_path):
    """A new leader finds that a majority holds an entry of an earlier term.

    That entry can still be replaced by a leader that never saw it (Raft,
    figure 8), so an operator must not be told it is accepted before an entry
    of the leader's own term stands behind it.
    """

    async def scenario():
        raft = make_voter(tmp_path, entries=[Entry(index=1, term=2)])
        raft._leading = True
        raft._match = {raft.voter: 1, "b": 1, "c": 1}
        raft._advance_commit()
        assert raft.applied == 0
        raft._storage.append([Entry(index=2, term=3)])
        raft._match = {raft.voter: 2, "b": 2}
        raft._advance_commit()
        assert raft.applied == 2

    run_paused(scenario())


def test_voter_counts_only_once_it_has_caught_up(tmp_path):
    """An operator adds a host that cannot be reached; it must not count.

    If it did, the group of three would need three of four, and the loss of
    one more host would stop all changes.
    """

    async def scenario():
        raft = make_voter(tmp_path, entries=[Entry(index=1, term=3)])
        raft._leading = True
        raft._commit = 1
        before = raft.voters
        with pytest.raises(PeerFailure) as caught:
            await raft.add_voter("d", "d", timeout=2)
        assert caught.value.code == "not_caught_up"
        assert raft.voters == before

    run_paused(scenario())


def test_message_for_another_disk_is_refused(tmp_path):
    """A host got a new disk; the others still write to the old one's name.

    Answered by the new disk, an acknowledgement would count for entries that
    the old disk held and this one does not.
    """

    async def scenario():
        raft = make_voter(tmp_path)
        request = RequestVote(
            to="old", term=9, candidate="b", last_index=9, last_term=9, pre=False
        )
        with pytest.raises(PeerFailure) as caught:
            await raft.handle(request)
        assert caught.value.code == "wrong_voter"

    run_paused(scenario())


def test_what_is_left_of_a_lost_lead_does_not_speak_for_the_next(tmp_path):
    """A leader is followed by another; a message of its own is still to be made.

    Under the newest term it would pass for the word of that term's leader,
    and followers would drop entries that the real one has committed.
    """

    async def scenario():
        raft = make_voter(tmp_path)
        raft._lead_term = raft.term
        await asyncio.sleep(SILENCE)
        await raft.handle(ask(raft, "b", term=9))
        assert raft.term == 9 and raft._append("c", 0, ()).term == 3

    run_paused(scenario())
