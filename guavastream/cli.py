"""The `guavastream` command: daemon, operator tools, stand-in servers, benchmarks."""

import argparse
import sys

from guavastream.exception import FindingsError, GuavastreamError

__all__ = ["main", "make_parser"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_GUARANTEE_VIOLATED = 5

LONG_RUNNING_COMMANDS = ("run", "standin")

EXIT_HELP = """\
exit status: 0 done, 1 failed, 2 bad input, 3 conflict or refused change,
4 the system cannot be reached, 5 a promise was found broken"""


def make_parser(names=None):
    """Return the argument parser of the command.

    Parameters
    ----------
    names : tuple of str, optional
        Subcommands to load; by default all.
    """
    from guavastream.commands import add_commands, load_commands

    load_commands(names)

    parser = argparse.ArgumentParser(
        prog="guavastream",
        description="A router for servers that own keys exclusively.",
        epilog=EXIT_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    add_commands(parser.add_subparsers(dest="command", required=True))
    return parser


def main(argv=None):
    """Run the command and return its exit status."""
    argv = sys.argv[1:] if argv is None else argv
    # Long-running processes load only their own subcommands, to save memory.
    parser = make_parser(
        LONG_RUNNING_COMMANDS if argv[:1] and argv[0] in LONG_RUNNING_COMMANDS else None
    )
    arguments = parser.parse_args(argv)
    try:
        return arguments.run(arguments) or EXIT_OK
    except FindingsError as error:
        for finding in error.findings:
            print(f"error: {finding}", file=sys.stderr)
        return EXIT_BAD_INPUT
    except GuavastreamError as error:
        print(f"error: {error.code}: {error}", file=sys.stderr)
        if error.code in ("conflict", "refused", "change_id_reused"):
            return EXIT_CONFLICT
        if error.code in ("unreachable", "not_ready", "peer_timeout"):
            return EXIT_UNREACHABLE
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())
