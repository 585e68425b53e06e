"""Pages whose servers call another service, under more load than fits.

The load of a duty board: 400 pages a second, of which 7 in 10 make two calls
to the servers that also take 170 swaps a second. Each figure in the comments
is the share of callers that got their answer in time.
"""

from guavastream.relay.tests.tandem import Kind, Tandem
from guavastream.relay.tests.test_admission import PlainQueue

CALL = Kind(
    name="check", service="desk", rate=0, work=0.04, target=0.15, deadline=0.5, rank=1
)
PAGE = Kind(
    name="page",
    service="board",
    rate=400,
    work=0.16,
    target=0.5,
    deadline=1.2,
    rank=2,
    calls=2,
    call_share=0.7,
    called=CALL,
    keyed=True,
)
SWAP = Kind(
    name="swap", service="desk", rate=170, work=0.25, target=0.6, deadline=1.5, rank=1
)
SPEEDS = [0.5, 1, 1, 1.5]


def play(board, desk, **kwargs):
    """Return what callers of pages and of swaps got."""
    servers = {"board": board, "desk": desk}
    counts = Tandem(kinds=[PAGE, SWAP], servers=servers, seconds=8, **kwargs).run()
    return counts["page"], counts["swap"]


def test_a_load_that_just_fits_is_served():
    page, swap = play([0.5, 1, 1, 1.5, 1], SPEEDS)
    assert page.share > 0.9 and swap.share > 0.9


def test_two_of_five_servers_left_work_for_answers_in_time():
    # Three servers of the board are gone. A plain queue fills until every
    # page is late (0.00); what the two can do is 0.45.
    page, swap = play([1, 1.15], [1, 1, 0.8])
    plain, _ = play([1, 1.15], [1, 1, 0.8], queue=PlainQueue)
    assert plain.share < 0.1
    assert page.share > 0.33 and page.late < 0.15 * page.in_time
    assert swap.share > 0.75


def test_calls_do_not_fail_for_those_that_came_before_them():
    # The called service is the one with too few servers. A refused call
    # would fail a page whose work is done.
    page, swap = play([0.5, 1, 1, 1.5, 1], [0.5, 1])
    assert page.failed < 0.02 * page.asked
    assert page.share > 0.5
