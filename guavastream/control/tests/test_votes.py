"""Rules that a single voter follows, tested by calling it directly."""

import asyncio
import random

import msgspec
import pytest

from guavastream.control import Entry, Raft, RaftTiming, StateMachine, Storage
from guavastream.control.messages import AppendEntries, RequestVote
from guavastream.control.storage import VOTERS
from guavastream.control.voter import ENTRIES_PER_SNAPSHOT
from guavastream.emulator import FakeNetwork, run_paused
from guavastream.exception import PeerFailure

TIMING = RaftTiming()
SILENCE_SECONDS = TIMING.election_min + 0.001
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


def make_vote_request(
    raft, candidate, *, term=5, index=9, index_term=3, pre_vote=False
):
    return RequestVote(
        to=raft.voter,
        term=term,
        candidate=candidate,
        last_index=index,
        last_term=index_term,
        pre_vote=pre_vote,
    )


def test_one_vote_per_term_across_a_restart(tmp_path):
    """Two candidates ask a voter in the same term; it restarts in between.

    If it voted for both, two leaders could be elected in that term.
    """

    async def scenario():
        raft = make_voter(tmp_path)
        await asyncio.sleep(SILENCE_SECONDS)
        assert (await raft.handle(make_vote_request(raft, "b"))).granted
        restarted = Raft(
            storage=Storage(folder=str(tmp_path)),
            transport=FakeNetwork().transport(ADDRESS),
            address=ADDRESS,
            peers=(),
            machine=StateMachine(),
        )
        await asyncio.sleep(SILENCE_SECONDS)
        assert not (await restarted.handle(make_vote_request(restarted, "c"))).granted
        await asyncio.sleep(SILENCE_SECONDS)
        assert (await restarted.handle(make_vote_request(restarted, "b"))).granted

    run_paused(scenario())


def test_no_vote_for_a_candidate_without_acknowledged_entries(tmp_path):
    """A candidate lacks entries that this voter has acknowledged.

    As the leader it would replace those entries by its own.
    """

    async def scenario():
        entries = [Entry(index=n, term=3) for n in (1, 2, 3)]
        raft = make_voter(tmp_path, entries=entries)
        await asyncio.sleep(SILENCE_SECONDS)
        assert not (await raft.handle(make_vote_request(raft, "b", index=2))).granted
        assert not (
            await raft.handle(
                make_vote_request(raft, "b", index=9, index_term=2, pre_vote=True)
            )
        ).granted

    run_paused(scenario())


@pytest.mark.parametrize("restarted", [False, True])
def test_no_vote_while_a_leader_may_rely_on_its_lease(tmp_path, restarted):
    """A voter that has recently answered a leader is asked for its vote.

    That leader relies on its lease and still renews leases of members. A restarted
    voter does not know when it last answered, so it waits from its start.
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
                previous_index=0,
                previous_term=0,
                commit=0,
            )
            assert (await raft.handle(heartbeat)).success
        await asyncio.sleep(TIMING.election_min - 0.01)
        for pre_vote in (True, False):
            assert not (
                await raft.handle(make_vote_request(raft, "c", pre_vote=pre_vote))
            ).granted
        await asyncio.sleep(0.02)
        assert (await raft.handle(make_vote_request(raft, "c"))).granted

    run_paused(scenario())


def test_entry_of_an_earlier_term_is_not_committed_by_replica_count(tmp_path):
    """A new leader finds an entry of an earlier term on a majority of voters.

    A later leader without that entry can still replace it (Raft paper, figure 8).
    It must not be acknowledged before an entry of the leader's own term follows it.
    """

    async def scenario():
        raft = make_voter(tmp_path, entries=[Entry(index=1, term=2)])
        raft._leading = True
        raft._match_indexes = {raft.voter: 1, "b": 1, "c": 1}
        raft._advance_commit()
        assert raft.applied == 0
        raft._storage.append([Entry(index=2, term=3)])
        raft._match_indexes = {raft.voter: 2, "b": 2}
        raft._advance_commit()
        assert raft.applied == 2

    run_paused(scenario())


def test_host_that_does_not_catch_up_is_not_added(tmp_path):
    """An operator adds a host that cannot be reached; it must not become a voter.

    Otherwise a majority would be three of four voters instead of two of three, and
    the loss of one more host would stop all changes.
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


def test_request_for_another_disk_is_refused(tmp_path):
    """A host got a new disk, and other voters still address the old one.

    If the new disk answered, its answers would count for entries that only the old
    disk had.
    """

    async def scenario():
        raft = make_voter(tmp_path)
        request = RequestVote(
            to="old", term=9, candidate="b", last_index=9, last_term=9, pre_vote=False
        )
        with pytest.raises(PeerFailure) as caught:
            await raft.handle(request)
        assert caught.value.code == "wrong_voter"

    run_paused(scenario())


def test_deposed_leader_sends_no_message_in_the_next_term(tmp_path):
    """A deposed leader makes one more message after it has seen a newer term.

    If the message had the newer term, followers would take it for one of that
    term's leader and drop entries which that leader has committed.
    """

    async def scenario():
        raft = make_voter(tmp_path)
        raft._leader_term = raft.term
        await asyncio.sleep(SILENCE_SECONDS)
        await raft.handle(make_vote_request(raft, "b", term=9))
        assert raft.term == 9 and raft._make_append_request("c", 0, ()).term == 3

    run_paused(scenario())


def lead(raft):
    """Make a voter the leader of its term without an election."""
    raft._leading = True
    raft._term_start_index = raft._commit


@pytest.mark.parametrize("written", [False, True])
def test_two_voters_are_not_added_in_one_step(tmp_path, written):
    """A second change of voters begins before the first one is committed.

    A majority before the two and one after them need not share a voter.
    """

    async def scenario():
        raft = make_voter(tmp_path, entries=[Entry(index=1, term=3)])
        lead(raft)
        first = asyncio.ensure_future(raft._change_voters(add={"d": "d"}))
        await asyncio.sleep(0)
        if written:
            async with raft._write_lock:
                filler = [Entry(index=2 + n, term=3) for n in range(300)]
                kind, data, _ = raft._proposals.pop()
                raft._storage.append(
                    [*filler, Entry(index=302, term=3, kind=kind, data=data)]
                )
        with pytest.raises(PeerFailure) as caught:
            async with asyncio.timeout(1):
                await raft._change_voters(add={"e": "e"})
        assert caught.value.code == "busy"
        first.cancel()

    run_paused(scenario())


def test_voters_do_not_change_before_the_term_has_an_entry(tmp_path):
    """A new leader changes the voters while a change of an earlier term is unknown.

    It could commit its own change without a majority that knows of the other one
    (erratum to Ongaro's thesis, 2015).
    """

    async def scenario():
        raft = make_voter(tmp_path, entries=[Entry(index=1, term=3)])
        raft._leading = True
        raft._term_start_index = 2
        with pytest.raises(PeerFailure) as caught:
            await raft.remove_voter("c")
        assert caught.value.code == "busy"

    run_paused(scenario())


def test_snapshot_holds_the_voters_of_its_last_entry(tmp_path):
    """A snapshot is taken while a change of voters is written but not committed.

    If it held that change, it would outlive the entry after another leader replaced
    it, and the voter would count a majority that nobody agreed to.
    """

    async def scenario():
        raft = make_voter(tmp_path)
        before = raft.voters
        count = ENTRIES_PER_SNAPSHOT
        entries = [Entry(index=n, term=3) for n in range(1, count + 1)]
        data = msgspec.msgpack.encode({"other": "other"})
        entries.append(Entry(index=count + 1, term=3, kind=VOTERS, data=data))
        raft._storage.append(entries)
        raft._voters = raft._latest_voters()
        raft._set_commit(count)
        assert raft._storage.snapshot.index == count
        assert raft._storage.snapshot.voters == before

    run_paused(scenario())
