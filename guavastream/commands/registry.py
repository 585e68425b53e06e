"""Registry of subcommands."""

import argparse
import importlib
import importlib.metadata

from guavastream.kernel import Registry

__all__ = ["COMMANDS", "add_commands", "command", "load_commands"]

MODULES = {
    "guavastream.commands.processes": ("run", "standin"),
    "guavastream.commands.check": ("check",),
    "guavastream.commands.pages": ("pages",),
    "guavastream.commands.operators": (
        "apply",
        "diff",
        "preset",
        "drain",
        "undrain",
        "status",
        "history",
        "owners",
        "voters",
    ),
    "guavastream.commands.timeline": ("timeline",),
    "guavastream.commands.experiment": ("experiment",),
    "guavastream.commands.explain": ("explain",),
    "guavastream.commands.suspects": ("suspects",),
    "guavastream.commands.bench": ("demo", "bench", "capacity"),
}

COMMANDS = Registry(kind="command")


def load_commands(names=None):
    """Import the modules of some subcommands, or of all."""
    for module, provided in MODULES.items():
        if names is None or set(names) & set(provided):
            importlib.import_module(module)
    for point in importlib.metadata.entry_points(group="guavastream.commands"):
        if names is None or point.name in names:
            point.load()


def command(name, *, summary, example=""):
    """Return a decorator that registers a subcommand.

    The decorated function adds arguments to a parser and returns the function
    to run with the parsed arguments.
    """

    def enter(setup):
        COMMANDS.register(name)((setup, summary, example))
        return setup

    return enter


def add_commands(subparsers):
    """Add every registered subcommand to an argparse group."""
    for name in COMMANDS.names:
        setup, summary, example = COMMANDS.get(name)
        parser = subparsers.add_parser(
            name,
            help=summary,
            description=summary,
            epilog=f"example:\n  {example}" if example else None,
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        parser.set_defaults(run=setup(parser))
