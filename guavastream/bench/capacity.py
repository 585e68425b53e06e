"""Measures the slopes behind docs/CAPACITY.md and writes its tables."""

import asyncio
import os
import random
import tempfile
import time
import tracemalloc
from array import array
from dataclasses import dataclass

import msgspec

from guavastream.bench.cluster import DEPLOYMENTS, Cluster, Deployment
from guavastream.bench.cost import measure_paths
from guavastream.bench.process import cpu_seconds, resident_mb, usage_over
from guavastream.bench.scenario import keyed_only, running
from guavastream.control import Entry, Snapshot, Storage
from guavastream.declare import parse_declaration
from guavastream.kernel import HybridClock
from guavastream.leases import Renew, RenewAnswer
from guavastream.leases.messages import Submit, Watch, WatchAnswer
from guavastream.messages import encode_message
from guavastream.messages.zmq_transport import ZmqTransport
from guavastream.state import (
    AssignShards,
    Member,
    Pin,
    RegisterMember,
    ShardMap,
    Table,
    decode_table,
    encode_command,
    encode_table,
)

__all__ = ["CAPACITY_PARTS", "MeasuredTable", "measure_capacity", "write_page"]

MEASURE_SECONDS = 4.0
HOLDERS = (10, 100, 500, 1000)
RENEWALS_A_SECOND = 8
SHARDS = (256, 4096, 65536)
PINS = (0, 1000, 10000)
NODES_AT_SIZE = 5600
WATCHERS = (10, 100, 500)
CHANGES = 20
SYNCS = 300
IDLE_DEPLOYMENT = "rosterdeck"


@dataclass(frozen=True, kw_only=True)
class MeasuredTable:
    """One table of the page: its name, heads and rows."""

    name: str
    heads: tuple
    rows: list

    def markdown(self):
        """Return the table as Markdown."""
        lines = ["| " + " | ".join(self.heads) + " |"]
        lines.append("|" + " --- |" * len(self.heads))
        lines += ["| " + " | ".join(map(str, row)) + " |" for row in self.rows]
        return "\n".join(lines)


def _control_only():
    """Return three control hosts without servers, and their declaration."""
    return Deployment(
        name="rosterdeck", zones=("a", "b", "c"), servers=(), keyed="dutyboard"
    )


def _start_controls(cluster):
    for host in cluster.hosts:
        host.start(cluster.control)
    cluster.wait_for("a leader", lambda: cluster.status()["leader"])
    cluster.change("apply", cluster.deployment.declaration)


def measure_renewals():
    """Lease renewal: CPU and bytes for keeper and holder, by holders."""
    rows = []
    with Cluster(deployment=_control_only(), apart=True) as cluster:
        _start_controls(cluster)
        leader = cluster.leader()
        for count in HOLDERS:
            spent, own, calls, size = asyncio.run(
                _renew_many(leader.peer, leader.node.pid, count)
            )
            rows.append(
                (
                    count,
                    round(calls / MEASURE_SECONDS),
                    round(spent / calls * 1e6),
                    round(own / calls * 1e6),
                    size,
                )
            )
    heads = ("holders", "renewals/s", "keeper µs each", "holder µs each", "bytes each")
    return MeasuredTable(name="renewals", heads=heads, rows=rows)


async def _renew_many(address, pid, count):
    transport = ZmqTransport(hybrid=HybridClock())
    calls = 0
    stopped = False

    async def hold(number):
        nonlocal calls
        request = Renew(host=f"light-{number}", member=0, index=0, revision=0)
        await asyncio.sleep(random.Random(number).random() / RENEWALS_A_SECOND)
        while not stopped:
            await transport.call(address, request, timeout=5)
            calls += 1
            await asyncio.sleep(1 / RENEWALS_A_SECOND)

    tasks = [asyncio.ensure_future(hold(n)) for n in range(count)]
    await asyncio.sleep(1)
    calls, before = 0, (cpu_seconds(pid), time.process_time())
    await asyncio.sleep(MEASURE_SECONDS)
    spent = cpu_seconds(pid) - before[0]
    own = time.process_time() - before[1]
    done, stopped = calls, True
    await asyncio.gather(*tasks)
    transport.close()
    request = Renew(host="host-0000", member=4711, index=10**6, revision=10**4)
    sent = sum(map(len, encode_message(request)))
    answer = RenewAnswer(duration=0.5, index=10**6)
    return spent, own, done, sent + sum(map(len, encode_message(answer))) + 32


def make_table(*, shards, pins=0, members=NODES_AT_SIZE):
    """Return a table of a size, all shards owned."""
    declaration = parse_declaration(
        'preset = "p"\n[presets.p]\n[services.s]\ndivided_by_key = true\n'
        f'key = "path:2"\nshards = {shards}\n'
    )
    held = {
        number: Member(
            id=number,
            host=f"host-{number:04d}",
            zone=f"zone-{number % 6}",
            region=f"region-{number % 2}",
            incarnation=f"{number:032x}",
            boot=f"{number:012x}",
            door=f"10.0.{number >> 8}.{number & 255}:8000",
            service="s",
            slots=20,
        )
        for number in range(1, members + 1)
    }
    owners = array("I", [n % members + 1 for n in range(shards)])
    epochs = array("Q", [n + 1 for n in range(shards)])
    return Table(
        index=shards + members,
        revision=1,
        declaration=declaration,
        preset="p",
        members=held,
        shards={"s": ShardMap(owners=owners, epochs=epochs)},
        pins={
            "s": {
                f"key-{n:08d}": Pin(
                    member=n % members + 1, epoch=n + 1, shard=n % shards
                )
                for n in range(pins)
            }
        },
    )


def measure_tables():
    """Assignment table: memory, encoded size, times to apply."""
    rows = []
    for shards in SHARDS:
        for pins in PINS:
            tracemalloc.start()
            table = make_table(shards=shards, pins=pins)
            held = tracemalloc.get_traced_memory()[0] / 1e6
            tracemalloc.stop()
            data = encode_table(table)
            full = _timed(lambda data=data: decode_table(data))
            command = AssignShards(service="s", shards=(1,), members=(2,), previous=2)
            delta = _timed(lambda t=table, c=command: t.apply(t.index + 1, c), 50)
            rows.append(
                (
                    shards,
                    pins,
                    round(held, 1),
                    round(len(data) / 1e6, 2),
                    round(full * 1000, 1),
                    round(delta * 1000, 3),
                )
            )
    heads = ("shards", "pins", "MB held", "MB encoded", "full table ms", "delta ms")
    return MeasuredTable(name="tables", heads=heads, rows=rows)


def _timed(function, times=5):
    spent = []
    for _ in range(times):
        began = time.perf_counter()
        function()
        spent.append(time.perf_counter() - began)
    return sorted(spent)[len(spent) // 2]


def measure_fanout():
    """Changes to many watchers: CPU and bytes for each watcher and change."""
    rows = []
    with Cluster(deployment=_control_only(), apart=True) as cluster:
        _start_controls(cluster)
        leader = cluster.leader()
        for count in WATCHERS:
            rows.append(_fan_out(cluster, leader, count))
    heads = (
        "watchers",
        "changes",
        "control µs each",
        "watcher µs each",
        "bytes each",
        "last heard after, ms",
    )
    return MeasuredTable(name="fanout", heads=heads, rows=rows)


def _fan_out(cluster, leader, count):
    async def run():
        transport = ZmqTransport(hybrid=HybridClock())
        heard, size, lags = 0, 0, []
        submitted = [0.0]
        ready = asyncio.Event()

        async def watch():
            nonlocal heard, size
            index = -1
            answer = await transport.call(
                leader.peer, Watch(index=index, wait=0.0), timeout=5
            )
            index = _last_index(answer, index)
            ready.set()
            while True:
                request = Watch(index=index, wait=2.0)
                answer = await transport.call(leader.peer, request, timeout=5)
                if not answer.commands:
                    continue
                index = answer.commands[-1][0]
                heard += len(answer.commands)
                size += sum(map(len, encode_message(answer)))
                lags.append(time.monotonic() - submitted[0])

        tasks = [asyncio.ensure_future(watch()) for _ in range(count)]
        await ready.wait()
        await asyncio.sleep(1)
        pid = leader.node.pid
        before = (cpu_seconds(pid), time.process_time())
        worst = []
        for number in range(CHANGES):
            lags.clear()
            submitted[0] = time.monotonic()
            await _submit_join(transport, leader.peer, f"{count}-{number}")
            while len(lags) < count:
                await asyncio.sleep(0.002)
            worst.append(max(lags))
        spent = cpu_seconds(pid) - before[0]
        own = time.process_time() - before[1]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        transport.close()
        return (
            count,
            CHANGES,
            round(spent / heard * 1e6),
            round(own / heard * 1e6),
            round(size / heard),
            round(sorted(worst)[len(worst) // 2] * 1000, 1),
        )

    return asyncio.run(run())


def _last_index(answer, index):
    if isinstance(answer, WatchAnswer) and answer.commands:
        return answer.commands[-1][0]
    return decode_table(answer.table).index if answer.table else index


async def _submit_join(transport, address, name):
    command = RegisterMember(
        host=f"light-{name}",
        zone="a",
        region="",
        incarnation=name,
        boot=name,
        door="127.0.0.1:1",
        service="recordkeep",
        slots=1,
    )
    tag, body = encode_message(command)
    await transport.call(address, Submit(tag=tag, body=body), timeout=5)


def measure_log():
    """The log: synced changes a second, snapshot at size, recovery."""
    table = make_table(shards=65536, pins=10000)
    data = encode_table(table)
    command = encode_command(AssignShards(service="s", shards=(1,), members=(2,)))
    with tempfile.TemporaryDirectory() as folder:
        storage = Storage(folder=folder)
        began = time.perf_counter()
        for index in range(1, SYNCS + 1):
            storage.append([Entry(index=index, term=1, data=command)])
        alone = SYNCS / (time.perf_counter() - began)
        began = time.perf_counter()
        for first in range(SYNCS + 1, 20 * SYNCS, 64):
            batch = [Entry(index=first + n, term=1, data=command) for n in range(64)]
            storage.append(batch)
        grouped = (storage.last_index - SYNCS) / (time.perf_counter() - began)
        size = storage.log_bytes / storage.last_index
        began = time.perf_counter()
        storage.save_snapshot(
            Snapshot(index=storage.last_index, term=1, data=data, voters={"a": "b"})
        )
        snapshot = time.perf_counter() - began
        storage.close()
        began = time.perf_counter()
        decode_table(Storage(folder=folder).snapshot.data)
        recovery = time.perf_counter() - began
    encoding = _timed(lambda: encode_table(table), 3)
    rows = [
        ("synced changes/s, one a record", round(alone)),
        ("synced changes/s, 64 a record", round(grouped)),
        ("bytes a change", round(size)),
        ("snapshot at size, MB", round(len(data) / 1e6, 2)),
        ("making the snapshot, ms", round(encoding * 1000)),
        ("writing the snapshot, ms", round(snapshot * 1000)),
        ("recovery at size, ms", round(recovery * 1000)),
    ]
    return MeasuredTable(name="log", heads=("figure", "value"), rows=rows)


def measure_forwarding():
    """Forwarding: latency and CPU of each path, side by side."""
    deployment = keyed_only(slots=320, work_ms=0)
    with running(deployment=deployment, probes=0, callers=0) as (cluster, _):
        rows = measure_paths(cluster, callers=(1, 16))
    heads = ("path", "callers", "requests/s", "p50 ms", "p99 ms", "nodes' CPU ms each")
    return MeasuredTable(name="forwarding", heads=heads, rows=rows)


def measure_node():
    """One node: memory, idle CPU and bytes, today and with tables at size."""
    with Cluster(deployment=DEPLOYMENTS[IDLE_DEPLOYMENT]) as cluster:
        cluster.start()
        cluster._health.stop()
        time.sleep(4)
        plain = [host.node.pid for host in cluster.hosts if not host.has_disk]
        control = [host.node.pid for host in cluster.hosts if host.has_disk]
        pids = plain + control
        spent, size = usage_over(MEASURE_SECONDS, pids)
        share = {pid: spent[pid] / MEASURE_SECONDS * 100 for pid in pids}
        rows = [
            ("node, today's size", *_node_row(plain, share, size / len(pids))),
            (
                "control host, today's size",
                *_node_row(control, share, size / len(pids)),
            ),
        ]
    rows.append(_node_at_size())
    heads = ("process", "resident MB", "idle CPU %", "idle KB/s")
    return MeasuredTable(name="node", heads=heads, rows=rows)


def _node_row(pids, share, size):
    memory = sorted(resident_mb(pid) for pid in pids)
    cpu = sorted(share[pid] for pid in pids)
    middle = len(pids) // 2
    return round(memory[middle], 1), round(cpu[middle], 1), round(size / 1000, 1)


def _node_at_size():
    """Return the row of one node whose table has 5,600 members."""
    with Cluster(deployment=_control_only(), apart=True) as cluster:
        _start_controls(cluster)
        leader = cluster.leader()
        asyncio.run(_register_many(leader.peer, NODES_AT_SIZE))
        time.sleep(4)
        other = next(host for host in cluster.hosts if host is not leader)
        pid = other.node.pid
        spent, _ = usage_over(MEASURE_SECONDS, [pid])
        memory = round(resident_mb(pid), 1)
        cpu = round(spent[pid] / MEASURE_SECONDS * 100, 1)
        return (
            "control host, after 5,600 joined and left",
            memory,
            cpu,
            "-",
        )


async def _register_many(address, count):
    transport = ZmqTransport(hybrid=HybridClock())
    for first in range(0, count, 100):
        await asyncio.gather(
            *(
                _submit_join(transport, address, f"{n}")
                for n in range(first, min(count, first + 100))
            )
        )
    transport.close()


CAPACITY_PARTS = {
    "renewals": measure_renewals,
    "tables": measure_tables,
    "fanout": measure_fanout,
    "log": measure_log,
    "forwarding": measure_forwarding,
    "node": measure_node,
}


def measure_capacity(names=(), say=print):
    """Return the measured tables, in their order."""
    chosen = names or tuple(CAPACITY_PARTS)
    tables = []
    for name in chosen:
        say(f"Measuring {name}.")
        tables.append(CAPACITY_PARTS[name]())
    return tables


def write_page(path, tables):
    """Replace the measured tables in a page, between their marks.

    Raises
    ------
    ValueError
        If a mark is missing.
    """
    with open(path, encoding="utf-8") as file:
        text = file.read()
    for table in tables:
        begin, end = f"<!-- measured: {table.name} -->", "<!-- end -->"
        if begin not in text:
            raise ValueError(f"{path} has no mark for {table.name}")
        head, _, rest = text.partition(begin)
        _, _, tail = rest.partition(end)
        text = f"{head}{begin}\n{table.markdown()}\n{end}{tail}"
    with open(path + ".new", "w", encoding="utf-8") as file:
        file.write(text)
    os.replace(path + ".new", path)


def encode_tables(tables):
    """Return the tables as plain values."""
    return msgspec.to_builtins(
        [{"name": t.name, "heads": t.heads, "rows": t.rows} for t in tables]
    )
