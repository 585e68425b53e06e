"""The book reaches every host in time, however large a change and narrow a link.

Callers of some hosts were served by the routes of before, seconds after a change
of 1,200 routes had been acknowledged; hosts that were started after it served
nobody, and after a loss of power no host ever served again. For each host that
change is an answer of 400 KB. A link of 4 Mbit/s that bodies of requests share
needs more than a second for it. The host waited 1.0 s, or 0.7 s for its first
book, asked the next control host for the same, and dropped the first answer when
it came; the second one queued behind it on the same link.

What proved it: links were full of answers that nobody waited for (control hosts
sent 25 to 40 times what is usual, for as long as anybody looked), processors
were idle, no control host was elected or behind, and every new host replaced its
connection to one control host after the other as silent.
"""

import asyncio
import random
import string

import msgspec
import pytest

from guavastream.control.tests.test_fleet import start_control_cluster
from guavastream.emulator import run_paused
from guavastream.fleet import ChangeRoutes, FleetState, FleetStateCodec
from guavastream.hosts.book_follower import BookFollower
from guavastream.leases import Watch, WatchAnswer
from guavastream.replica import TableHolder
from guavastream.routes import RetrySafety, Route, WeightedService

HOST = "10.2.0.1:1"
# What is left of a link of 4 Mbit/s, of which bodies of requests take half.
NARROW = 250_000.0
# Time after its acknowledgement within which a change is to be in force.
IN_FORCE_SECONDS = 2.0
ROUTES = 1200
# A host that is new, or was restarted, is to serve within this time.
JOIN_SECONDS = 4.0


def many_routes(rng):
    """Return routes whose names and origins hardly repeat each other."""

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


def large_change():
    return ChangeRoutes(
        base=1,
        version=2,
        digest=b"second",
        whole=False,
        routes=many_routes(random.Random(1)),
    )


class Host:
    """A process that follows the book behind a link of its own."""

    def __init__(self, core):
        self.versions = []
        self.books = TableHolder(codec=FleetStateCodec())
        self._follower = BookFollower(
            control=core.client(HOST),
            books=self.books,
            seeds=core.seeds,
            on_change=self._note,
        )
        self._task = asyncio.ensure_future(self._follower.run())

    def _note(self, before, book):
        if book.config is not before.config:
            self.versions.append(book.config.version)

    async def until_in_force(self, version, seconds):
        async with asyncio.timeout(seconds):
            while version not in self.versions:
                await asyncio.sleep(0.01)


def test_a_large_change_is_in_force_in_time_behind_a_narrow_link(tmp_path):
    # The answer takes 1.6 s as it stands; it was waited for 1.0 s.
    async def main():
        core = await start_control_cluster(tmp_path)
        host = Host(core)
        await host.until_in_force(1, 1.0)
        core.network.narrow(HOST, NARROW)
        await core.change(large_change())
        await host.until_in_force(2, IN_FORCE_SECONDS)

    run_paused(main())


def test_a_new_host_gets_a_large_book_behind_a_narrow_link(tmp_path):
    # The whole book takes 1.6 s as it stands; it was waited for 0.7 s.
    async def main():
        core = await start_control_cluster(tmp_path)
        await core.change(large_change())
        core.network.narrow(HOST, NARROW)
        host = Host(core)
        await host.until_in_force(2, JOIN_SECONDS)

    run_paused(main())


def test_a_new_host_never_has_an_older_configuration_in_force(tmp_path):
    # Control hosts keep the whole book for those that start together, and send
    # what has changed since with it. A host that took one after the other would
    # answer its first callers by routes that were replaced long before.
    async def main():
        core = await start_control_cluster(tmp_path)
        await asyncio.sleep(1.0)
        for turn in range(len(core.addresses)):
            first = Watch(index=0, wait=0.0)
            await core.client().call_any(turn, first, timeout=1.0)
        await core.change(large_change())
        # Long enough for every control host to have heard that it is committed.
        await asyncio.sleep(1.0)
        late = [Host(core) for _ in range(3)]
        await asyncio.gather(*(host.until_in_force(2, 1.0) for host in late))
        assert [host.versions for host in late] == [[2], [2], [2]]

    run_paused(main())


def test_a_link_that_is_nearly_full_still_passes_the_book(tmp_path):
    # Bodies of requests leave 20 KB a second of the link: the 50 KB of the
    # change take 2.5 s at best, and whatever is sent in vain comes on top.
    async def main():
        core = await start_control_cluster(tmp_path)
        host = Host(core)
        await host.until_in_force(1, 1.0)
        core.network.narrow(HOST, NARROW / 12)
        await core.change(large_change())
        await host.until_in_force(2, 10.0)

    run_paused(main())


def encode_book(**fields):
    """Return a book with fields that no version of it has had."""
    return msgspec.msgpack.encode({"index": 10**6, **fields})


def encode_later_command():
    """Return a command that a later version knows."""
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
    ids=["bytes", "compressed", "book", "command", "later-command", "older"],
)
def test_a_control_host_whose_answers_cannot_be_used_harms_nobody(tmp_path, answer):
    # A control host of a later version sends a book, or a command, that this one
    # cannot read, or one that went back to an old disk sends an older book. The
    # process beside each server ended by itself when it read the first, and with it
    # all requests there; it must say so once, ask elsewhere, and never go back.
    async def main():
        random.seed(1)
        core = await start_control_cluster(tmp_path)
        odd = core.addresses[0]
        core.network.serve(odd, answer_always(core.network.handler_of(odd), answer))
        hosts = [Host(core) for _ in range(5)]
        await asyncio.gather(*(host.until_in_force(1, 3.0) for host in hosts))
        await core.change(ChangeRoutes(base=1, version=2, digest=b"2", whole=False))
        await asyncio.gather(*(host.until_in_force(2, 2.0) for host in hosts))
        await asyncio.sleep(2.0)
        for host in hosts:
            # A host without a book may take an older one first, and refuses callers
            # until it has a configuration.
            assert host.versions in ([1, 2], [0, 1, 2])

    run_paused(main())


def answer_always(handler, answer):
    async def handle(request):
        if isinstance(request, Watch):
            return answer
        return await handler(request)

    return handle
