"""Tests with a known cause that is not mended yet do not decide the verdict."""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"


def known_red():
    """Return the names of the tests that KNOWN-RED.txt lists, with their lines.

    Each line is the test, its cause, the issue and the seed, divided by "|".
    """
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split("|")[0].strip(): line for line in lines if "|" in line}


def pytest_collection_modifyitems(items):
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="known red", strict=False))


def pytest_terminal_summary(terminalreporter):
    for line in known_red().values():
        terminalreporter.write_line(f"KNOWN RED: {line}")
