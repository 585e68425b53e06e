"""Requests that end every server that begins to run them."""

import asyncio

import pytest

from guavastream.hosts.tests.rig import DOWN_SECONDS, Recurring, play_fleet

# After the third server has ended, everybody knows of it within this, seconds.
KNOWN_SECONDS = 3.0
THIRD = 3
# Times that it may reach a server after that.
ALLOWED = 3
PAUSE = 0.5
LONGEST_SECONDS = 30.0

PAGE = {"target": b"/page/harmful", "key": 4711}
ORDER = {"target": b"/order/harmful", "method": b"POST", "body": b"x" * 3000}


def begun_late(request):
    """Return how often servers began to run it once everybody had to know."""
    if len(request.ended) < THIRD:
        return 0
    third = sorted(at for at, _ in request.ended)[THIRD - 1]
    return sum(at > third + KNOWN_SECONDS for at in request.begun)


async def until_third(fleet, request):
    """Send a harmful request again and again until it has ended three servers."""
    fleet.send_again_and_again(request, pause=PAUSE)
    async with asyncio.timeout(LONGEST_SECONDS):
        while len(request.ended) < THIRD:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("fields", [PAGE, ORDER], ids=["page", "order"])
def test_a_request_that_ends_each_server_is_not_sent_to_all_of_them(tmp_path, fields):
    """Guards against one request, sent again by its callers, ending all servers."""

    async def scenario(fleet):
        fleet.load(rate=10)
        harmful = Recurring(**fields, harmful=True)
        fleet.send_again_and_again(harmful, pause=PAUSE)
        await asyncio.sleep(15.0)

    (harmful,) = play_fleet(tmp_path, scenario).recurring
    assert len(harmful.ended) >= THIRD
    assert begun_late(harmful) <= ALLOWED


def test_an_upload_is_known_again_however_its_body_comes(tmp_path):
    """Guards against hosts that take one body for several, as it streams or not."""
    body = bytes(range(256)) * 2400
    chunks = (None, 1, 70_000, 600_000)

    async def scenario(fleet):
        harmful = Recurring(
            target=b"/load/harmful",
            method=b"POST",
            body=body,
            chunks=chunks,
            harmful=True,
        )
        await until_third(fleet, harmful)
        await asyncio.sleep(KNOWN_SECONDS + 8.0)
        assert begun_late(harmful) <= ALLOWED and harmful.answers[503] > 5
        other = Recurring(target=b"/load/harmful", method=b"POST", body=body[1:])
        assert (await fleet.send(other))[0] == 200

    play_fleet(tmp_path, scenario, pages=0, orders=5)


def test_innocent_requests_that_share_each_end_are_served(tmp_path):
    """Guards against refusing what was at the servers together with the culprit."""

    async def scenario(fleet):
        for place in fleet.places:
            place.seconds = 0.3
            await place.crash_server()
            await place.start_server()
        await asyncio.sleep(6.0)
        # Nearly always at the same server as the harmful one, and never answered
        # while that one is let in.
        innocent = [
            Recurring(target=b"/page/%d" % number, key=PAGE["key"]) for number in (1, 2)
        ]
        for request in innocent:
            fleet.send_again_and_again(request, pause=0.2)
        harmful = Recurring(**PAGE, harmful=True)
        await until_third(fleet, harmful)
        await asyncio.sleep(KNOWN_SECONDS + DOWN_SECONDS)
        assert fleet.is_refused(harmful) and begun_late(harmful) <= ALLOWED
        assert not any(fleet.is_refused(request) for request in innocent)
        for request in innocent:
            request.answers.clear()
        await asyncio.sleep(3.0)
        for request in innocent:
            assert request.answers[200] >= 0.9 * sum(request.answers.values())

    play_fleet(tmp_path, scenario, pages=4, orders=0)


def test_the_loss_of_many_servers_at_once_blames_nobody(tmp_path):
    """Guards against taking a loss of power, or of memory, for a harmful request."""

    async def scenario(fleet):
        fleet.load(rate=30)
        recurring = [
            Recurring(target=b"/page/%d" % n, key=9000 * n) for n in range(1, 7)
        ]
        for request in recurring:
            fleet.send_again_and_again(request, pause=0.1)
        for _ in range(4):
            await asyncio.sleep(1.0)
            lost = fleet.rng.sample([p for p in fleet.places if p.server], 3)
            for place in lost:
                await place.crash_server()
            await asyncio.sleep(DOWN_SECONDS)
            for place in lost:
                await place.start_server()
        await asyncio.sleep(4.0)
        assert not any(suspect.refused for suspect in fleet.suspects.values())
        for request in recurring:
            request.answers.clear()
        await asyncio.sleep(2.0)
        assert all(set(request.answers) == {200} for request in recurring)

    play_fleet(tmp_path, scenario, pages=8, orders=0)


def test_it_is_known_past_the_loss_of_the_leader_at_the_third_end(tmp_path):
    """Guards against a report of an end that goes down with who led."""

    async def scenario(fleet):
        harmful = Recurring(**ORDER, harmful=True)
        await until_third(fleet, harmful)
        fleet.core.kill(fleet.core.leader())
        await asyncio.sleep(10.0)
        assert begun_late(harmful) <= ALLOWED and fleet.is_refused(harmful)

    play_fleet(tmp_path, scenario, pages=0, orders=5)


def test_it_is_known_past_a_kill_of_all_processes(tmp_path):
    """Guards against forgetting it with the processes that have seen the ends."""

    async def scenario(fleet):
        harmful = Recurring(**ORDER, harmful=True)
        await until_third(fleet, harmful)
        await asyncio.sleep(KNOWN_SECONDS)
        before = len(harmful.begun)
        await fleet.kill_all()
        await asyncio.sleep(10.0)
        assert len(harmful.begun) == before
        other = Recurring(target=b"/order/other", method=b"POST")
        assert (await fleet.send(other))[0] == 200

    play_fleet(tmp_path, scenario, pages=0, orders=5)


def test_hosts_that_reach_no_control_host_go_by_what_they_have_seen(tmp_path):
    """Guards against a cut-off host that ends one server after the other."""

    async def scenario(fleet):
        for place in fleet.places:
            fleet.network.isolate(place.peer, fleet.core.addresses)
        await asyncio.sleep(3.0)
        harmful = Recurring(**ORDER, harmful=True)
        fleet.recurring.append(harmful)
        asker = fleet.places[0]
        for _ in range(20):
            await fleet.send(harmful, place=asker)
            await asyncio.sleep(0.3)
        assert len(harmful.ended) == THIRD

    play_fleet(tmp_path, scenario, pages=0, orders=6)


def test_the_next_version_of_a_server_gets_it_again(tmp_path):
    """Guards against refusing for ever what a new version of a service bears."""

    async def scenario(fleet):
        harmful = Recurring(**ORDER, harmful=True)
        await until_third(fleet, harmful)
        await asyncio.sleep(KNOWN_SECONDS)
        assert fleet.is_refused(harmful)
        harmful.harmful = False
        for place in fleet.places:
            place.version = "v2"
            await place.crash_server()
            await place.start_server()
        await asyncio.sleep(2.0)
        assert (await fleet.send(harmful))[0] == 200

    play_fleet(tmp_path, scenario, pages=0, orders=4)


def test_an_operator_lets_it_in_again(tmp_path):
    """Guards against a refusal that lasts though the servers were mended."""

    async def scenario(fleet):
        harmful = Recurring(**ORDER, harmful=True)
        await until_third(fleet, harmful)
        await asyncio.sleep(KNOWN_SECONDS)
        harmful.harmful = False
        (print,) = (p for p, suspect in fleet.suspects.items() if suspect.refused)
        await fleet.places[1].host.lift_suspects((print,))
        await asyncio.sleep(0.5)
        for place in fleet.places:
            assert (await fleet.send(harmful, place=place))[0] == 200

    play_fleet(tmp_path, scenario, pages=0, orders=4)


def test_callers_are_told_at_once_and_not_to_come_back_soon(tmp_path):
    """Guards against refusals that are late, or bring the request back each second."""

    async def scenario(fleet):
        harmful = Recurring(**ORDER, harmful=True)
        await until_third(fleet, harmful)
        await asyncio.sleep(KNOWN_SECONDS)
        began = fleet.now()
        status, headers = await fleet.send(harmful)
        assert status == 503 and float(headers.get(b"retry-after")) >= 30.0
        assert fleet.now() - began < 0.05

    play_fleet(tmp_path, scenario, pages=0, orders=4)
