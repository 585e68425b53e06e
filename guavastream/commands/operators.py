"""Operators' subcommands; all talk to an operators' door."""

import getpass
import os
import socket

import msgspec

from guavastream.commands.output import print_json, print_table
from guavastream.commands.registry import command
from guavastream.declare import load_declaration
from guavastream.operate import ChangeRequest, OperatorClient, read_token

__all__ = []

EXIT_FAILED = 1
ADDRESS_VARIABLE = "GUAVASTREAM_OPERATOR"
TOKEN_VARIABLE = "GUAVASTREAM_OPERATOR_TOKEN_FILE"


def _add_common(parser):
    parser.add_argument(
        "--operator",
        default=os.environ.get(ADDRESS_VARIABLE, "127.0.0.1:8301"),
        metavar="IP:PORT",
        help=f"operators' door [{ADDRESS_VARIABLE}]",
    )
    parser.add_argument(
        "--token-file",
        default=os.environ.get(TOKEN_VARIABLE, ""),
        help=f"file with the operators' token [{TOKEN_VARIABLE}]",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def _client(arguments):
    token = read_token(arguments.token_file)
    return OperatorClient(address=arguments.operator, token=token)


def _add_change(parser):
    _add_common(parser)
    parser.add_argument(
        "--expect-revision",
        type=int,
        default=-1,
        metavar="N",
        help="lose to any change since revision N",
    )
    parser.add_argument(
        "--change-id",
        default="",
        metavar="ID",
        help="name of this change, to resend it",
    )
    parser.add_argument(
        "--wait",
        type=float,
        nargs="?",
        const=15.0,
        default=0.0,
        metavar="SECONDS",
        help="wait until every live process has it in force (15 s)",
    )


def _send_change(arguments, what, value):
    author = f"{getpass.getuser()}@{socket.gethostname()}"
    asked = ChangeRequest(
        what=what,
        value=value,
        author=author,
        expect=arguments.expect_revision,
        change=arguments.change_id,
        wait=arguments.wait,
    )
    result = _client(arguments).tell("changes", asked)
    if arguments.json:
        print_json(result)
    else:
        print(f"Revision {result['answer']['revision']} accepted ({result['change']}).")
        if arguments.wait and not result["behind"]:
            print(f"In force everywhere after {result['seconds']:.3f} s.")
    if result["behind"]:
        print(f"Not yet in force at: {', '.join(result['behind'])}.")
        return EXIT_FAILED
    return 0


@command(
    "apply",
    summary="Put a file of declarations in force.",
    example="guavastream apply deployments/rosterdeck.toml --wait",
)
def _setup_apply(parser):
    parser.add_argument("file", help="TOML file of declarations")
    _add_change(parser)

    def run(arguments):
        load_declaration(arguments.file)
        with open(arguments.file, encoding="utf-8") as file:
            return _send_change(arguments, "apply", file.read())

    return run


@command(
    "diff",
    summary="Compare a file of declarations with what is in force.",
    example="guavastream diff deployments/rosterdeck.toml",
)
def _setup_diff(parser):
    parser.add_argument("file", help="TOML file of declarations")
    _add_common(parser)

    def run(arguments):
        made = load_declaration(arguments.file)
        # Through JSON, as the other side: tuples would differ from lists.
        wanted = msgspec.json.decode(msgspec.json.encode(made))
        present = _client(arguments).ask("table")
        rows = list(_differences("", present["declaration"], wanted))
        if arguments.json:
            print_json(
                [dict(zip(("place", "old", "new"), row, strict=True)) for row in rows]
            )
        elif rows:
            print_table(("place", "in force", "in the file"), rows)
        else:
            print(f"No difference from revision {present['revision']}.")

    return run


def _cell(value):
    return ", ".join(value) if isinstance(value, list) else value


def _differences(place, old, new):
    if isinstance(old, list) and isinstance(new, list) and place in SECTIONS:
        old = {item["name"]: item for item in old}
        new = {item["name"]: item for item in new}
    if isinstance(old, dict) and isinstance(new, dict):
        for name in sorted(old.keys() | new.keys()):
            where = f"{place}.{name}" if place else name
            yield from _differences(where, old.get(name), new.get(name))
    elif old != new:
        yield place, old, new


SECTIONS = ("services", "presets")


@command(
    "preset",
    summary="Use, list or show presets.",
    example="guavastream preset use friday-night --wait",
)
def _setup_preset(parser):
    parser.add_argument("action", choices=("use", "list", "show"))
    parser.add_argument("name", nargs="?", default="", help="name of the preset")
    _add_change(parser)
    return _preset


def _preset(arguments):
    if arguments.action == "use":
        return _send_change(arguments, "preset", arguments.name)
    present = _client(arguments).ask("table")
    presets = present["declaration"]["presets"]
    name = arguments.name or present["preset"]
    if arguments.action == "show":
        presets = [preset for preset in presets if preset["name"] == name]
    if arguments.json:
        print_json({"preset": present["preset"], "presets": presets})
        return 0
    rows = [
        (
            "*" if preset["name"] == present["preset"] else "",
            *map(_cell, preset.values()),
        )
        for preset in presets
    ]
    print_table(("in force", *(presets[0] if presets else ())), rows)
    return 0


@command(
    "drain",
    summary="Give a host, or all hosts of a zone, no new work.",
    example="guavastream drain leith-a --wait",
)
def _setup_drain(parser):
    parser.add_argument("target", help="host or availability zone")
    _add_change(parser)
    return lambda arguments: _send_change(arguments, "drain", arguments.target)


@command(
    "undrain",
    summary="End a drain.",
    example="guavastream undrain leith-a",
)
def _setup_undrain(parser):
    parser.add_argument("target", help="host or availability zone")
    _add_change(parser)
    return lambda arguments: _send_change(arguments, "undrain", arguments.target)


@command("status", summary="Show the system as its leader sees it.")
def _setup_status(parser):
    _add_common(parser)
    return _status


def _status(arguments):
    status = _client(arguments).ask("status")
    if arguments.json:
        print_json(status)
        return
    print(f"revision  {status['revision']}")
    print(f"preset    {status['preset'] or '(none)'}")
    print(f"leader    {status['leader']} (term {status['term']})")
    print(f"voters    {', '.join(status['voters'])}")
    print(f"drained   {', '.join(status['drained']) or '(nothing)'}")
    if status["insecure"]:
        print("warning   operators need no token (--insecure)")
    rows = [
        (
            name,
            server["host"],
            server["zone"],
            server["member"],
            server["shards"],
            "drained" if server["drained"] else "",
        )
        for name, service in status["services"].items()
        for server in service["servers"]
    ]
    print()
    print_table(("service", "host", "zone", "member", "shards", ""), rows)


@command("history", summary="List the accepted changes, newest last.")
def _setup_history(parser):
    _add_common(parser)

    def run(arguments):
        changes = _client(arguments).ask("history")
        if arguments.json:
            print_json(changes)
            return
        rows = [(c["revision"], c["author"], c["what"], c["change"]) for c in changes]
        print_table(("revision", "author", "what", "change id"), rows)

    return run


@command(
    "owners",
    summary="Show who owns the shards of a service, or one key.",
    example="guavastream owners dutyboard crew-17",
)
def _setup_owners(parser):
    parser.add_argument("service")
    parser.add_argument("key", nargs="?", default="")
    _add_common(parser)

    def run(arguments):
        query = {"service": arguments.service, "key": arguments.key}
        found = _client(arguments).ask("owners", **query)
        if arguments.json:
            print_json(found)
            return
        rows = [
            (s["shard"], s["host"] or "(nobody)", s["epoch"]) for s in found["shards"]
        ]
        print_table(("shard", "host", "epoch"), rows)
        if found["pinned"]:
            print(f"pinned to {found['pinned']} until its sessions end")

    return run


@command(
    "voters",
    summary="List, add or remove control hosts.",
    example="guavastream voters add 127.0.0.1:7004",
)
def _setup_voters(parser):
    parser.add_argument("action", choices=("list", "add", "remove"))
    parser.add_argument("address", nargs="?", default="", help="peer IP:PORT")
    _add_common(parser)

    def run(arguments):
        client = _client(arguments)
        if arguments.action == "list":
            voters = client.ask("status")["voters"]
        else:
            asked = {"address": arguments.address, "add": arguments.action == "add"}
            voters = sorted(client.tell("voters", asked)["voters"].values())
        if arguments.json:
            print_json(voters)
        else:
            print_table(("peer address",), [(voter,) for voter in voters])

    return run
