"""`guavastream suspects`: requests under which servers ended, seen and lifted."""

import msgspec

from guavastream.commands.output import print_json, print_table
from guavastream.commands.registry import command
from guavastream.exception import Finding, FindingsError
from guavastream.hosts.admin import SuspectRow, SuspectsToLift

__all__ = []

SECONDS = 5.0


@command(
    "suspects",
    summary="List the requests under which servers ended; let one in again.",
    example="guavastream suspects lift --at 10.0.0.4:7615 3f2a",
)
def _setup_suspects(parser):
    verbs = parser.add_subparsers(metavar="VERB", required=True)
    listing = verbs.add_parser("list", help="which, and how many servers ended")
    _add_common(listing)
    listing.set_defaults(act=_list)
    lifting = verbs.add_parser("lift", help="forget some: they may reach servers")
    _add_common(lifting)
    lifting.add_argument(
        "requests", nargs="*", metavar="REQUEST", help="fingerprints, or how they begin"
    )
    lifting.add_argument("--all", action="store_true", help="all that are known")
    lifting.set_defaults(act=_lift)
    return lambda arguments: arguments.act(arguments)


def _add_common(parser):
    parser.add_argument(
        "--at",
        required=True,
        metavar="IP:PORT",
        help="where a process serves its counters; any one knows all",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def _list(arguments):
    rows = _read(arguments.at)
    if arguments.json:
        print_json(msgspec.to_builtins(rows))
        return 0
    heads = ("request", "servers ended", "refused", "where", "hosts")
    table = [
        (
            row.request,
            row.ended_servers,
            "yes" if row.refused else "no",
            ", ".join(" ".join(place).strip() for place in row.places),
            ", ".join(row.hosts),
        )
        for row in rows
    ]
    if table:
        print_table(heads, table)
    else:
        print("No request is suspect.")
    return 0


def _lift(arguments):
    known = [row.request for row in _read(arguments.at)]
    found = known if arguments.all else []
    findings = []
    for text in arguments.requests:
        meant = [request for request in known if request.startswith(text.lower())]
        if len(meant) != 1:
            said = "is not suspect" if not meant else f"may be {len(meant)} requests"
            findings.append(Finding(place=text, code="bad_value", text=f"{said}."))
        found += meant
    if not arguments.requests and not arguments.all:
        findings.append(
            Finding(place="REQUEST", code="missing", text="Name some, or --all.")
        )
    if findings:
        raise FindingsError(findings)
    if found:
        asked = SuspectsToLift(requests=sorted(set(found)))
        _call(arguments.at, "POST", "/suspects/lift", msgspec.json.encode(asked))
    print(f"{len(set(found))} lifted.")
    return 0


def _read(address):
    return msgspec.json.decode(
        _call(address, "GET", "/suspects"), type=list[SuspectRow]
    )


def _call(address, method, path, body=None):
    """Return the body of an answer.

    Raises
    ------
    FindingsError
        If there is none, or it is a refusal.
    """
    import urllib3

    pool = urllib3.PoolManager(retries=False, timeout=SECONDS)
    try:
        answer = pool.request(method, f"http://{address}{path}", body=body)
    except urllib3.exceptions.HTTPError as error:
        text = f"Nobody answers: {error}."
        raise FindingsError(
            [Finding(place=address, code="unreachable", text=text)]
        ) from error
    if answer.status != 200:
        text = answer.data.decode("utf-8", "replace").strip() or str(answer.status)
        raise FindingsError([Finding(place=address, code="refused", text=text)])
    return answer.data
