"""The fleet state reaches every host in time, even large changes on slow links.

Guards against hosts that keep old routes, or never get their first fleet state,
after a change of 1,200 routes. For each host that change is an answer of 400 KB,
which takes more than a second on a link of 4 Mbit/s shared with request bodies.
A host that gave up after 1.0 s (0.7 s for its first state) and asked the next
control host discarded the first answer on arrival, while the second was queued
behind it. Links then carried only discarded answers, 25 to 40 times the usual
traffic of control hosts, and this did not end by itself.
"""

import asyncio
import random
import string

import msgspec
import pytest

from guavastream.control.tests.test_fleet import start_control_cluster
from guavastream.emulator import run_paused
from guavastream.fleet import ChangeRoutes, FleetState, FleetStateCodec
from guavastream.hosts.book_follower import FleetStateFollower
from guavastream.leases import Watch, WatchAnswer
from guavastream.replica import TableHolder
from guavastream.routes import RetrySafety, Route, WeightedService

HOST = "10.2.0.1:1"
# Bytes per second left of a 4 Mbit/s link of which request bodies take half.
NARROW_LINK_RATE = 250_000.0
# Time after its acknowledgement within which a change has to be in force.
IN_FORCE_SECONDS = 2.0
ROUTES = 1200
# Time within which a new or restarted host has to have its configuration.
JOIN_SECONDS = 4.0


def make_routes(rng):
    """Return routes with random names and origins, which compress poorly."""

    def word(size):
        return "".join(rng.choices(string.ascii_lowercase + string.digits, k=size))

    def route():
        name, prefix = f"r-{word(7)}", f"/{word(8)}/{word(4)}/"
        raw_json = (
            f'{{"host":"a","prefix":"{prefix}","repeat":"safe","timeout":"2000ms",'
            '"target":"1200ms","priority":2,"service":"s","attempts":2,"parts":1}'
        )
        return Route(
            name=name,
            host="a",
            prefix=prefix,
            retry_safety=RetrySafety.SAFE,
            timeout=2.0,
            target=1.2,
            priority=2,
            attempts=2,
            weighted_services=(WeightedService(service="s"),),
            raw_json=raw_json.encode(),
        )

    return tuple(route() for _ in range(ROUTES))


def make_large_change():
    return ChangeRoutes(
        base=1,
        version=2,
        digest=b"second",
        whole=False,
        routes=make_routes(random.Random(1)),
    )


class FollowingHost:
    """A process that follows the fleet state over its own link."""

    def __init__(self, cluster):
        self.versions = []
        self.holder = TableHolder(codec=FleetStateCodec())
        self._follower = FleetStateFollower(
            control=cluster.client(HOST),
            holder=self.holder,
            seeds=cluster.seeds,
            on_change=self._on_change,
        )
        self._task = asyncio.ensure_future(self._follower.run())

    def _on_change(self, before, fleet_state):
        if fleet_state.config is not before.config:
            self.versions.append(fleet_state.config.version)

    async def wait_in_force(self, version, seconds):
        async with asyncio.timeout(seconds):
            while version not in self.versions:
                await asyncio.sleep(0.01)


def test_a_large_change_is_in_force_in_time_on_a_slow_link(tmp_path):
    # The uncompressed answer takes 1.6 s, longer than a timeout of 1.0 s.
    async def main():
        cluster = await start_control_cluster(tmp_path)
        host = FollowingHost(cluster)
        await host.wait_in_force(1, 1.0)
        cluster.network.narrow(HOST, NARROW_LINK_RATE)
        await cluster.change(make_large_change())
        await host.wait_in_force(2, IN_FORCE_SECONDS)

    run_paused(main())


def test_a_new_host_gets_a_large_fleet_state_on_a_slow_link(tmp_path):
    # The uncompressed fleet state takes 1.6 s, longer than a timeout of 0.7 s.
    async def main():
        cluster = await start_control_cluster(tmp_path)
        await cluster.change(make_large_change())
        cluster.network.narrow(HOST, NARROW_LINK_RATE)
        host = FollowingHost(cluster)
        await host.wait_in_force(2, JOIN_SECONDS)

    run_paused(main())


def test_a_new_host_never_has_an_older_configuration_in_force(tmp_path):
    # Control hosts cache the encoded fleet state for hosts that start together, and
    # send the commands since then along with it. A host that put the cached state
    # into force first would use routes that were replaced long before.
    async def main():
        cluster = await start_control_cluster(tmp_path)
        await asyncio.sleep(1.0)
        for turn in range(len(cluster.addresses)):
            first = Watch(index=0, wait=0.0)
            await cluster.client().call_any(turn, first, timeout=1.0)
        await cluster.change(make_large_change())
        # Long enough for every control host to learn that it is committed.
        await asyncio.sleep(1.0)
        late_hosts = [FollowingHost(cluster) for _ in range(3)]
        await asyncio.gather(*(host.wait_in_force(2, 1.0) for host in late_hosts))
        assert [host.versions for host in late_hosts] == [[2], [2], [2]]

    run_paused(main())


def test_a_large_change_arrives_over_a_nearly_saturated_link(tmp_path):
    # Request bodies leave 20 KB per second of the link. The 50 KB of the change
    # take 2.5 s at best, plus the time for whatever is sent and discarded.
    async def main():
        cluster = await start_control_cluster(tmp_path)
        host = FollowingHost(cluster)
        await host.wait_in_force(1, 1.0)
        cluster.network.narrow(HOST, NARROW_LINK_RATE / 12)
        await cluster.change(make_large_change())
        await host.wait_in_force(2, 10.0)

    run_paused(main())


def encode_book(**fields):
    """Return an encoded fleet state with the given, invalid fields."""
    return msgspec.msgpack.encode({"index": 10**6, **fields})


def encode_later_command():
    """Return an encoded command that only a later version knows."""
    return msgspec.msgpack.encode((b"CommandOfALaterVersion", b"\x80"))


@pytest.mark.parametrize(
    "answer",
    [
        WatchAnswer(table=b"\xc1 not a book"),
        WatchAnswer(table=b"\x78\x01 not compressed either"),
        WatchAnswer(table=encode_book(index="of a later format")),
        WatchAnswer(commands=((10**6, b"\x92\xa4Noop\xc1"),)),
        WatchAnswer(commands=((10**6, encode_later_command()),)),
        WatchAnswer(table=FleetStateCodec().encode(FleetState(index=1))),
    ],
    ids=["bytes", "compressed", "fleet-state", "command", "later-command", "older"],
)
def test_unusable_answers_of_one_control_host_do_not_stop_a_host(tmp_path, answer):
    # A control host of a later version sends a state or command that cannot be read,
    # or one restored from an old disk sends an older state. The process beside a
    # server must not exit, which would end all its requests: it must log this once,
    # ask another control host, and never return to an older state.
    async def main():
        random.seed(1)
        cluster = await start_control_cluster(tmp_path)
        faulty = cluster.addresses[0]
        cluster.network.serve(
            faulty, always_answer(cluster.network.handler_of(faulty), answer)
        )
        hosts = [FollowingHost(cluster) for _ in range(5)]
        await asyncio.gather(*(host.wait_in_force(1, 3.0) for host in hosts))
        await cluster.change(ChangeRoutes(base=1, version=2, digest=b"2", whole=False))
        await asyncio.gather(*(host.wait_in_force(2, 2.0) for host in hosts))
        await asyncio.sleep(2.0)
        for host in hosts:
            # A host without a fleet state may take the older one first; it refuses
            # requests until it has a configuration.
            assert host.versions in ([1, 2], [0, 1, 2])

    run_paused(main())


def always_answer(handler, answer):
    async def handle(request):
        if isinstance(request, Watch):
            return answer
        return await handler(request)

    return handle
