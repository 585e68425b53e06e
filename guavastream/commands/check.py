"""`check`: report every finding in a file of declarations."""

from guavastream.commands.registry import command
from guavastream.declare import load_declaration

__all__ = []


@command(
    "check",
    summary="Check a file of declarations.",
    example="guavastream check deployments/rosterdeck.toml",
)
def _setup_check(parser):
    parser.add_argument("file", help="TOML file of declarations")
    return _check


def _check(arguments):
    made = load_declaration(arguments.file)
    print(
        f"{arguments.file}: {len(made.services)} services, "
        f"{len(made.presets)} presets, nothing to report."
    )
