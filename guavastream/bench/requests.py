"""Benches of requests: overload, failing and lying servers, resends, silence."""

import contextlib
import random
import threading
import time
import uuid
from collections import Counter

import urllib3

from guavastream.bench.cluster import Cluster, Deployment, ServerSpec
from guavastream.bench.load import CallerHttp, Load, RequestKind
from guavastream.bench.scenario import BENCHES, Bench, Figure
from guavastream.emulator import FaultProxy, behaviour_body

__all__ = []

ZONES = ("a", "b", "c")
DECLARATION = """
preset = "ordinary"
[services.desk]
slots = {slots}
queue = 8
deadline_ms = 1000
priority = "pages"
shards = 64
non_idempotent = ["POST /desk/swaps/*"]
[services.desk.priorities]
"POST /desk/swaps/*" = "swaps"
[presets.ordinary]
slow_start_ms = 0
shed = ["pages"]
"""
PAGE = RequestKind(
    name="page", service="desk", method="GET", path="/desk/pages/", share=1
)
SWAP = RequestKind(
    name="swap",
    service="desk",
    method="POST",
    path="/desk/swaps/",
    share=1,
    idempotent=False,
    size=320,
)
SECONDS = 4.0
UUID_TIME_SHIFT = 80


@contextlib.contextmanager
def desk(*, servers=3, slots=20, work_ms=3.0, proxies=None):
    """Run a deployment of one service without keys.

    Parameters
    ----------
    proxies : list, optional
        Gets a fault proxy between each guard and its server.
    """
    spec = ServerSpec(service="desk", count=servers, slots=slots, work_ms=work_ms)
    deployment = Deployment(
        name="desk",
        zones=ZONES,
        servers=(spec,),
        keyed="desk",
        text=DECLARATION.format(slots=slots),
    )
    with Cluster(deployment=deployment) as cluster, contextlib.ExitStack() as stack:
        if proxies is not None:
            for host in cluster.hosts:
                proxy = FaultProxy(target=host.backend)
                stack.callback(proxy.close)
                proxies.append(proxy)
                host.announce = proxy.address
        cluster.start()
        yield cluster


def drive(cluster, kinds, *, callers, pause, seconds=SECONDS):
    """Send a mix for some time; return the stamps around it."""
    load = Load(
        kinds=kinds,
        doors=lambda: cluster.doors,
        recorder=cluster.recorder,
        callers=callers,
        pause=pause,
    )
    since = cluster.recorder.clock.stamp()
    load.start()
    time.sleep(seconds)
    until = cluster.recorder.clock.stamp()
    load.stop()
    return since, until


def told_in(timeline, since, until, kind=""):
    """Return the `caller_told` events of a span."""
    return [
        event
        for event in timeline
        if event.kind == "caller_told"
        and since <= event.stamp <= until
        and kind in ("", event.detail["kind"])
    ]


def misbehave(host, **changes):
    """Change what the server of a host does wrong."""
    urllib3.request(
        "PUT",
        f"http://{host.backend}/.standin/behaviour",
        body=behaviour_body(**changes),
        headers={"Content-Type": "application/json"},
    )


def ran_in(timeline, since, until):
    """Return how many requests each server ran in a span."""
    return Counter(
        event.server
        for event in timeline
        if event.kind == "ran" and since <= event.stamp <= until
    )


@BENCHES.register("overload")
class Overload(Bench):
    """Sends three times what the servers can run; swaps are a fifth of it."""

    summary = "three times the capacity: goodput, and swaps within deadline"
    baseline = "the same servers with just as many callers as slots"

    def measure(self):
        slots, servers = 2, 3
        with desk(servers=servers, slots=slots, work_ms=40) as cluster:
            full = drive(cluster, (PAGE,), callers=slots * servers, pause=0.0005)
            swap = RequestKind(
                name="swap",
                service="desk",
                method="POST",
                path="/desk/swaps/",
                share=0.15,
                idempotent=False,
                size=320,
            )
            spans = [
                drive(cluster, (PAGE, swap), callers=90, pause=0.15)
                for _ in range(min(3, self._events))
            ]
            cluster.stop_all()
            timeline = cluster.timeline()
        capacity = _goodput(timeline, *full)
        lost = [1 - _goodput(timeline, *span) / capacity for span in spans]
        late = [_share_lost(timeline, *span, "swap") for span in spans]
        pages = [_share_lost(timeline, *span, "page") for span in spans]
        offered = [len(told_in(timeline, *span)) / SECONDS / capacity for span in spans]
        return [
            Figure.of("offered over capacity", offered, unit=""),
            Figure.of("goodput lost, share", lost, unit="", aim=0.1),
            Figure.of("swaps not answered, share", late, unit="", aim=0.01),
            Figure.of("pages shed, share", pages, unit=""),
        ], timeline


def _goodput(timeline, since, until):
    good = [e for e in told_in(timeline, since, until) if e.detail["code"] == "ok"]
    return len(good) / SECONDS


def _share_lost(timeline, since, until, kind):
    told = told_in(timeline, since, until, kind)
    lost = [e for e in told if e.detail["code"] != "ok"]
    return len(lost) / max(1, len(told))


@BENCHES.register("retry-storm")
class RetryStorm(Bench):
    """Lets every server take connections and break them."""

    summary = "every server breaks its connections: requests seen over fresh ones"
    baseline = "three tries for each request, the same load"

    def measure(self):
        proxies = []
        with desk(proxies=proxies) as cluster:
            for proxy in proxies:
                proxy.cut_answers_after(0)
            before = sum(proxy.connections for proxy in proxies)
            since, until = drive(cluster, (PAGE,), callers=8, pause=0.01)
            seen = sum(proxy.connections for proxy in proxies) - before
            cluster.kill_all()
            timeline = cluster.timeline()
        fresh = len(told_in(timeline, since, until))
        return [
            Figure.of("seen over fresh", [seen / fresh], unit="", aim=1.2, baseline=3.0)
        ], timeline


@BENCHES.register("lying-health")
class LyingHealth(Bench):
    """One server says it is well and fails; one says it is not, and is well."""

    summary = "one of four fails and says it is well; one says it fails and is well"
    baseline = "the same load before they lie"

    def measure(self):
        with desk(servers=4) as cluster:
            calm = drive(cluster, (PAGE,), callers=8, pause=0.01)
            failing, slandered = cluster.hosts[0], cluster.hosts[1]
            misbehave(failing, healthy=True, failing=True)
            misbehave(slandered, healthy=False)
            time.sleep(1)
            span = drive(cluster, (PAGE,), callers=8, pause=0.01)
            boots = failing.boot, slandered.boot
            cluster.stop_all()
            timeline = cluster.timeline()
        ran = ran_in(timeline, *span)
        total = sum(ran.values())
        return [
            Figure.of(
                "answers of the failing server, share",
                [ran[boots[0]] / total],
                unit="",
                aim=0.05,
                baseline=round(ran_in(timeline, *calm)[boots[0]] / total, 3),
            ),
            Figure.of(
                "work kept from the well one, share",
                [max(0.0, 1 - ran[boots[1]] * 3 / total)],
                unit="",
                aim=0.25,
            ),
        ], timeline


@BENCHES.register("resend")
class Resend(Bench):
    """Resends operations through other doors while owners are lost."""

    summary = "operations resent through any door, owners lost: runs of each"
    baseline = "none; a second run is a finding of at-most-once"

    def measure(self):
        answers = Counter()
        with desk(servers=4) as cluster:
            stopped = threading.Event()
            threads = [
                threading.Thread(target=_resend, args=(cluster, n, stopped, answers))
                for n in range(8)
            ]
            for thread in threads:
                thread.start()
            for _ in range(min(3, self._events)):
                time.sleep(1)
                host = cluster.hosts[-1]
                cluster.kill(host)
                time.sleep(1.5)
                cluster.restart(host)
                cluster.wait_settled()
            stopped.set()
            for thread in threads:
                thread.join()
            cluster.stop_all()
            timeline = cluster.timeline()
        total = sum(answers.values())
        unknown = sum(n for code, n in answers.items() if code != "ok")
        return [
            Figure.of("operations sent three times", [total], unit=""),
            Figure.of("not answered in the end, share", [unknown / total], unit=""),
        ], timeline


def _resend(cluster, seed, stopped, answers):
    rng = random.Random(seed)
    caller = CallerHttp(doors=lambda: cluster.doors, recorder=cluster.recorder, rng=rng)
    while not stopped.wait(0.02):
        operation = make_operation()
        headers = {"Idempotency-Key": operation}
        for _ in range(3):
            told = caller.send(SWAP, operation, request=operation, headers=headers)
        answers[told.code] += 1


def make_operation():
    """Return a UUIDv7 of this moment."""
    moment = int(time.time() * 1000) << UUID_TIME_SHIFT
    low = uuid.uuid4().int & ((1 << UUID_TIME_SHIFT) - 1)
    low = low & ~(0xF << 76) | (7 << 76)
    return str(uuid.UUID(int=moment | low))


@BENCHES.register("silent-connections")
class SilentConnections(Bench):
    """Lets all open connections to the servers go silent for good."""

    summary = "open connections go silent: longest page, swaps told in time"
    baseline = "the same load before each event"

    def measure(self):
        proxies = []
        with desk(proxies=proxies) as cluster:
            spans, before = [], []
            for _ in range(self._events):
                before.append(drive(cluster, (PAGE, SWAP), callers=8, pause=0.01))
                for proxy in proxies:
                    proxy.silence()
                spans.append(drive(cluster, (PAGE, SWAP), callers=8, pause=0.01))
            cluster.kill_all()
            timeline = cluster.timeline()
        return [
            Figure.of(
                "longest page",
                [_longest(timeline, span, "page") for span in spans],
                aim=1.0,
                baseline=max(_longest(timeline, span, "page") for span in before),
            ),
            Figure.of(
                "longest swap",
                [_longest(timeline, span, "swap") for span in spans],
                aim=1.2,
            ),
            Figure.of(
                "pages not answered",
                [_share_lost(timeline, *span, "page") for span in spans],
                unit="",
                aim=0.0,
            ),
        ], timeline


def _longest(timeline, span, kind):
    return max(e.detail["ms"] for e in told_in(timeline, *span, kind)) / 1000


@BENCHES.register("uploads-during-drain")
class UploadsDuringDrain(Bench):
    """Stops servers as planned while bundles are on their way to them."""

    summary = "planned stops with uploads in flight: uploads cut"
    baseline = "none; a cut is a finding of planned-stop"

    def measure(self):
        bundle = RequestKind(
            name="bundle",
            service="desk",
            method="PUT",
            path="/desk/bundles/",
            share=1,
            size=640_000,
            spread=2.0,
        )
        with desk(servers=4) as cluster:
            load = Load(
                kinds=(bundle,),
                doors=lambda: cluster.doors,
                recorder=cluster.recorder,
                callers=16,
                pause=0.01,
            )
            load.start()
            for number in range(self._events):
                host = cluster.hosts[-1 - number % 2]
                cluster.stop_planned(host)
                cluster.restart(host)
                cluster.wait_settled()
                time.sleep(0.5)
            load.stop()
            cluster.stop_all()
            timeline = cluster.timeline()
        told = [e for e in timeline if e.kind == "caller_told"]
        cut = sum(e.detail["ran"] == "outcome unknown" for e in told)
        return [
            Figure.of(f"uploads cut of {len(told)}", [cut], unit="", aim=0)
        ], timeline
