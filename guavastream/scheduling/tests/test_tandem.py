"""Overload of two services, one of which calls the other.

The load is that of a duty board: 400 pages a second, 70 % of which make two calls
to servers that also handle 170 swaps a second. Figures in comments are shares of
requests that are answered within their target.
"""

from guavastream.scheduling.tests.tandem import Kind, TwoServiceSimulation
from guavastream.scheduling.tests.test_admission import PlainQueue

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


def simulate(board, desk, **kwargs):
    """Return the counts of pages and of swaps."""
    servers = {"board": board, "desk": desk}
    counts = TwoServiceSimulation(
        kinds=[PAGE, SWAP], servers=servers, seconds=8, **kwargs
    ).run()
    return counts["page"], counts["swap"]


def test_load_within_capacity_is_served():
    page, swap = simulate([0.5, 1, 1, 1.5, 1], SPEEDS)
    assert page.share > 0.9 and swap.share > 0.9


def test_two_of_five_servers_answer_a_third_in_time():
    # Three of the board's five servers are gone. A plain queue fills until every page
    # is late (0.00); the capacity of the two servers is 0.45.
    page, swap = simulate([1, 1.15], [1, 1, 0.8])
    plain, _ = simulate([1, 1.15], [1, 1, 0.8], queue=PlainQueue)
    assert plain.share < 0.1
    assert page.share > 0.33 and page.late < 0.15 * page.in_time
    assert swap.share > 0.75


def test_refused_calls_do_not_fail_pages_in_progress():
    # The called service has too few servers. Each refused call would fail a page for
    # which the board has already worked.
    page, swap = simulate([0.5, 1, 1, 1.5, 1], [0.5, 1])
    assert page.failed < 0.02 * page.requests
    assert page.share > 0.5
