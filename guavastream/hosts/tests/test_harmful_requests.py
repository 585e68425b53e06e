"""Requests that end every server that begins to run them."""

import asyncio

import pytest

from guavastream.hosts.tests.rig import Recurring, play_fleet

# After the third server has ended, everybody knows of it within this, seconds.
KNOWN_SECONDS = 3.0
THIRD = 3
# Times that it may reach a server after that.
ALLOWED = 3

PAGE = {"target": b"/page/harmful", "key": 4711}
ORDER = {"target": b"/order/harmful", "method": b"POST", "body": b"x" * 3000}


def begun_late(request):
    """Return how often servers began to run it once everybody had to know."""
    if len(request.ended) < THIRD:
        return 0
    third = sorted(at for at, _ in request.ended)[THIRD - 1]
    return sum(at > third + KNOWN_SECONDS for at in request.begun)


@pytest.mark.parametrize("fields", [PAGE, ORDER], ids=["page", "order"])
def test_a_request_that_ends_each_server_is_not_sent_to_all_of_them(tmp_path, fields):
    """Guards against one request, sent again by its callers, ending all servers."""

    async def scenario(fleet):
        fleet.load(rate=10)
        harmful = Recurring(**fields, harmful=True)
        fleet.send_again_and_again(harmful, pause=0.5)
        await asyncio.sleep(15.0)

    (harmful,) = play_fleet(tmp_path, scenario).recurring
    assert len(harmful.ended) >= THIRD
    assert begun_late(harmful) <= ALLOWED
