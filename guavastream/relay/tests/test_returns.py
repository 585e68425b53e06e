"""Callers that come back are told from those that ask for the same."""

from guavastream.relay.returns import MOST_REMEMBERED, Returns

WHAT = ("read", b"/x")


def test_two_callers_of_the_same_thing_are_told_apart():
    returns = Returns()
    returns.note(WHAT, gives_up=1.0, first=0.0)
    returns.note(WHAT, gives_up=1.2, first=0.2)
    assert returns.take(WHAT, gives_up=1.21, now=0.5) == 0.2
    assert returns.take(WHAT, gives_up=0.99, now=0.6) == 0.0
    assert returns.take(WHAT, gives_up=1.0, now=0.7) == 0.7
    assert not len(returns)


def test_another_thing_is_another_request():
    returns = Returns()
    returns.note(WHAT, gives_up=1.0, first=0.0)
    assert returns.take(("read", b"/y"), gives_up=1.0, now=0.5) == 0.5


def test_what_is_remembered_is_bounded():
    returns = Returns()
    for number in range(2 * MOST_REMEMBERED):
        returns.note(("read", b"%d" % number), gives_up=1.0, first=0.0)
    assert len(returns) == MOST_REMEMBERED
    for number in range(2 * MOST_REMEMBERED):
        returns.note(WHAT, gives_up=number + 1.0, first=float(number))
    # Those whose callers have given up make room.
    assert returns.take(WHAT, gives_up=2.0, now=3.0) == 3.0
