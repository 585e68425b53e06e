"""Registry of subcommands."""

import argparse

from guavastream.kernel import Registry

__all__ = ["COMMANDS", "add_commands", "command"]

COMMANDS = Registry(kind="command")


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
