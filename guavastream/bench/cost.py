"""Cost of forwarding: direct, one hop, two hops, and the callers' library."""

import hashlib
import threading
import time

import urllib3

from guavastream.bench.process import cpu_seconds, peak_mb, resident_mb
from guavastream.bench.report import percentile
from guavastream.bench.scenario import BENCHES, Bench, Figure, keyed_only, running
from guavastream.client import Caller

__all__ = ["measure_paths"]

CALLERS = (1, 16, 64)
SECONDS = 3.0
SESSIONS = 256
UPLOAD_BYTES = 200 << 20
CHUNK = b"x" * 65536
KEYS = 64


def _paths(cluster):
    """Return for each path a function that asks for one key."""
    owners = {}
    for number in range(KEYS):
        key = f"crew-{number}"
        found = cluster.client().ask("owners", service="dutyboard", key=key)
        owners[key] = cluster.host(found["shards"][0]["host"])
    keys = list(owners)
    others = {
        key: next(h for h in cluster.hosts if h is not owners[key]) for key in keys
    }

    def through(address_of):
        def connect():
            http = urllib3.PoolManager(retries=False, num_pools=16, maxsize=1)

            def ask(number):
                key = keys[number % KEYS]
                url = f"http://{address_of(key)}/dutyboard/rosters/{key}"
                http.request("GET", url)

            return ask

        return connect

    def library():
        caller = Caller(doors=cluster.doors)

        def ask(number):
            caller.send("GET", f"/dutyboard/rosters/{keys[number % KEYS]}").read()

        return ask

    return {
        "direct": through(lambda key: owners[key].backend),
        "one hop": through(lambda key: owners[key].door),
        "two hops": through(lambda key: others[key].door),
        "library": library,
    }


def measure_paths(cluster, *, callers, seconds=SECONDS):
    """Return rows of path, callers, requests/s, p50, p99, CPU ms a request."""
    nodes = [host.node.pid for host in cluster.hosts]
    rows = []
    for count in callers:
        for name, connect in _paths(cluster).items():
            before = sum(map(cpu_seconds, nodes))
            times = _drive(connect, count, seconds)
            spent = sum(map(cpu_seconds, nodes)) - before
            rows.append(
                (
                    name,
                    count,
                    round(len(times) / seconds),
                    round(percentile(times, 0.5) * 1000, 3),
                    round(percentile(times, 0.99) * 1000, 3),
                    round(spent / len(times) * 1000, 3),
                )
            )
    return rows


def _drive(connect, count, seconds):
    times = []
    until = time.monotonic() + seconds

    def run(offset):
        ask, number, own = connect(), offset, []
        while (began := time.monotonic()) < until:
            ask(number)
            own.append(time.monotonic() - began)
            number += 1
        times.extend(own)

    threads = [threading.Thread(target=run, args=(n,)) for n in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return times


@BENCHES.register("forward-cost")
class ForwardCost(Bench):
    """Asks the same stand-ins directly and over each path, in one run."""

    summary = "latency and CPU of each path; 256 sessions; a 200 MB upload"
    baseline = "the same stand-in called directly, in the same run"

    def measure(self):
        deployment = keyed_only(slots=SESSIONS + 64, work_ms=0)
        with running(deployment=deployment, probes=0, callers=0) as (cluster, _):
            rows = measure_paths(cluster, callers=CALLERS)
            crowded = _beside_sessions(cluster)
            grown = _upload(cluster)
            cluster.stop_all()
            timeline = cluster.timeline()
        direct = {row[1]: row for row in rows if row[0] == "direct"}
        figures = []
        for name, count, _, p50, p99, cpu in rows:
            figures.append(
                Figure(
                    name=f"{name}, {count} callers: p50 and p99",
                    median=p50,
                    worst=p99,
                    unit="ms",
                    baseline=direct[count][3],
                )
            )
            if cpu and name != "direct":
                figures.append(
                    Figure(
                        name=f"{name}, {count} callers: CPU a request",
                        median=cpu,
                        worst=cpu,
                        unit="ms",
                    )
                )
        figures.append(
            Figure.of(
                f"short request beside {SESSIONS} sessions, p50 and worst",
                crowded,
                unit="ms",
            )
        )
        figures.append(
            Figure.of("memory over a 200 MB upload", [grown], unit="MB", aim=16)
        )
        return figures, timeline


def _beside_sessions(cluster):
    """Return latencies in ms of short requests beside many open uploads."""
    stop = threading.Event()
    host = cluster.hosts[0]

    def body():
        for _ in range(600):
            yield b"x" * 100
            if stop.wait(0.2):
                return

    def session(number):
        url = f"http://{host.door}/dutyboard/uploads/session-{number}"
        http = urllib3.PoolManager(retries=False)
        http.request("PUT", url, body=body(), timeout=60)

    threads = [
        threading.Thread(target=session, args=(n,), daemon=True)
        for n in range(SESSIONS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(3)
    http = urllib3.PoolManager(retries=False)
    times = []
    for number in range(100):
        began = time.monotonic()
        url = f"http://{host.door}/dutyboard/rosters/crew-{number}"
        http.request("GET", url)
        times.append((time.monotonic() - began) * 1000)
    stop.set()
    for thread in threads:
        thread.join(30)
    return times


def _upload(cluster):
    """Upload 200 MB and return how much the door's memory grew, in MB."""
    host = cluster.hosts[1]
    before = resident_mb(host.node.pid)

    def body():
        for _ in range(UPLOAD_BYTES // len(CHUNK)):
            yield CHUNK

    answer = urllib3.request(
        "PUT",
        f"http://{host.door}/dutyboard/uploads/large",
        body=body(),
        headers={"Content-Length": str(UPLOAD_BYTES)},
        timeout=120,
        retries=False,
    )
    digest = hashlib.sha256()
    for part in body():
        digest.update(part)
    if answer.json().get("sha256") != digest.hexdigest():
        raise ValueError("the upload did not arrive whole")
    return max(0.0, peak_mb(host.node.pid) - before)
