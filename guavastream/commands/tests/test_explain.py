"""Logs are read whatever stands beside them, and told as tables."""

import json

import pytest

from guavastream.cli import main
from guavastream.commands.explain import read_lines

LINES = [
    {
        "asctime": "2026-10-15 15:02:58,043",
        "message": "guard: Refused before the server.",
        "service": "pages",
        "kind": "page",
        "again": True,
        "late": True,
        "stands": True,
        "wait_ms": 120,
        "dropped": 7,
    },
    {
        "asctime": "2026-10-15 15:02:58,050",
        "message": "ingress: Try failed.",
        "service": "pages",
        "kind": "page",
        "code": "overloaded",
    },
    {
        "asctime": "2026-10-15 15:03:01,050",
        "message": "ingress: Gave up.",
        "service": "pages",
        "kind": "page",
        "code": "overloaded",
    },
    {
        "asctime": "2026-10-15 15:03:01,060",
        "message": "ingress: Refused: no_config.",
    },
]


def test_the_reasons_of_refusals_are_told(tmp_path, capsys):
    path = tmp_path / "host.log"
    text = "".join(f"3.2 host-1 {json.dumps(line)}\n" for line in LINES)
    path.write_text(text + 'killed here {"message": "half a li\nnothing\n')
    assert main(["explain", str(path)]) == 0
    told = capsys.readouterr().out
    assert "4 lines; 7 more were not written" in told
    assert "pages    page  overloaded  1" in told
    assert "no_config" in told and "120" in told and "+0 s" in told


def test_what_is_no_log_line_is_left_out():
    assert read_lines(["{}", "[1]", "{x", '{"message": "m"}']) == [{"message": "m"}]


def test_a_file_that_is_not_there_is_told(capsys):
    assert main(["explain", "no-such-file"]) == 2
    assert "no-such-file" in capsys.readouterr().err


@pytest.mark.parametrize("every", ["0.5", "10"])
def test_rows_over_time(tmp_path, capsys, every):
    path = tmp_path / "host.log"
    path.write_text("\n".join(json.dumps(line) for line in LINES))
    assert main(["explain", "--every", every, str(path)]) == 0
    assert f"rows of {every} s" in capsys.readouterr().out
