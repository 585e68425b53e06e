"""Which of the requests that ended servers had is to blame."""

from guavastream.fleet import (
    Book,
    ClearRequests,
    EndInstance,
    ForgetVersions,
    JoinInstance,
    RelaxRequests,
)
from guavastream.fleet.suspects import ENOUGH_ENDS, MOST_SUSPECTS


class Ends:
    """A book, and servers that end one after the other."""

    def __init__(self):
        self.book = Book()
        self._lives = iter(range(1, 10**6))

    def apply(self, command):
        self.book, _ = self.book.apply(self.book.index + 1, command)

    def end(self, *requests, host="", version="v1", service="s", id=""):
        number = next(self._lives)
        self.apply(
            EndInstance(
                id=id or f"life-{number}",
                service=service,
                host=host or f"host-{number}",
                requests=requests,
                version=version,
            )
        )

    def refused(self):
        return {r for r, s in self.book.suspects.items() if s.refused}


def test_three_servers_that_end_under_a_request_are_enough():
    ends = Ends()
    for number in range(ENOUGH_ENDS):
        assert not ends.refused()
        ends.end(b"bad", b"other-%d" % number)
    assert ends.refused() == {b"bad"}


def test_innocent_ones_that_share_each_end_are_not_refused():
    """Guards against blaming whatever was there, with the one that is to blame."""
    ends = Ends()
    for _ in range(2):
        ends.end(b"bad", b"innocent", b"another")
    # Run one at a time from now on, the innocent ones are answered.
    ends.end(b"bad", b"new")
    assert ends.refused() == {b"bad"}


def test_of_two_that_are_equally_suspect_none_is_refused():
    ends = Ends()
    for _ in range(ENOUGH_ENDS):
        ends.end(b"bad", b"innocent")
    assert not ends.refused()
    ends.end(b"bad")
    assert ends.refused() == {b"bad"}


def test_an_answer_clears_a_request():
    ends = Ends()
    for _ in range(2):
        ends.end(b"innocent", b"bad")
    ends.apply(ClearRequests(requests=(b"innocent",), service="s", version="v1"))
    ends.end(b"innocent")
    assert not ends.refused() and ends.book.suspects[b"innocent"].ends == 1


def test_an_answer_of_another_version_clears_nothing():
    ends = Ends()
    ends.end(b"bad")
    ends.apply(ClearRequests(requests=(b"bad",), service="s", version="v2"))
    assert b"bad" in ends.book.suspects


def test_a_report_that_comes_twice_counts_once():
    """Guards against a retry of a report, after its answer was lost, that counts."""
    ends = Ends()
    for _ in range(5):
        ends.end(b"bad", id="one life")
    assert ends.book.suspects[b"bad"].ends == 1 and len(ends.book.ended) == 1


def test_a_server_that_ends_all_the_time_blames_nobody():
    """Guards against a request that waits for a broken server being blamed for it."""
    ends = Ends()
    for _ in range(4):
        ends.end(host="broken")
    for _ in range(ENOUGH_ENDS):
        ends.end(b"innocent", host="broken")
    assert not ends.refused()


def test_one_server_that_ends_under_one_request_only_blames_it():
    ends = Ends()
    for _ in range(ENOUGH_ENDS):
        ends.end(b"bad", host="only")
    assert ends.refused() == {b"bad"}


def test_requests_that_take_turns_at_the_only_server_are_found():
    ends = Ends()
    for _ in range(6):
        for number in range(4):
            ends.end(b"bad-%d" % number, host="only")
    assert len(ends.refused()) == 4


def test_many_suspects_drive_out_none_that_is_refused():
    """Guards against requests made on purpose that let a harmful one in again."""
    ends = Ends()
    for _ in range(ENOUGH_ENDS):
        ends.end(b"bad")
    ends.end(b"twice")
    ends.end(b"twice")
    for number in range(3 * MOST_SUSPECTS // 16):
        ends.end(*(b"%d-%d" % (number, n) for n in range(16)))
    assert len(ends.book.suspects) == MOST_SUSPECTS
    assert ends.refused() == {b"bad"} and b"twice" in ends.book.suspects


def test_the_oldest_refused_go_when_all_are_refused():
    ends = Ends()
    for number in range(MOST_SUSPECTS + 5):
        for _ in range(ENOUGH_ENDS):
            ends.end(b"bad-%d" % number)
    assert len(ends.book.suspects) == MOST_SUSPECTS
    assert b"bad-%d" % (MOST_SUSPECTS + 4) in ends.refused()


def test_an_old_refusal_is_tried_once_more():
    ends = Ends()
    for _ in range(ENOUGH_ENDS):
        ends.end(b"bad")
    ends.apply(RelaxRequests(requests=(b"bad",)))
    assert not ends.refused()
    ends.end(b"bad")
    assert ends.refused() == {b"bad"}


def test_a_version_that_is_gone_lifts_what_it_did_not_bear():
    ends = Ends()
    for _ in range(ENOUGH_ENDS):
        ends.end(b"bad", version="v1")
    ends.end(b"worse", version="v1")
    ends.end(b"worse", version="v2")
    ends.apply(ForgetVersions(places=(("s", "v1"),)))
    assert list(ends.book.suspects) == [b"worse"]


def test_an_end_takes_the_server_out_of_the_book():
    ends = Ends()
    ends.apply(
        JoinInstance(
            id="life", service="s", host="h", door="d", address="a", zone="z", slots=1
        )
    )
    ends.end(b"bad", id="life")
    assert not ends.book.instances
