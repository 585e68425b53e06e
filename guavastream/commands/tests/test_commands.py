"""The command line: bad input, exit statuses, pages in step with the code."""

from pathlib import Path

import pytest

from guavastream.cli import main
from guavastream.commands.pages import GENERATED_PAGES

DOCS = Path(__file__).parents[3] / "docs"
BROKEN = """
preset = "none"
wrong = 1
[services.s]
slots = "many"
divided_by_key = true
[services.Bad]
[presets.p]
queue_share = 7.0
"""


@pytest.mark.parametrize("name", GENERATED_PAGES)
def test_page_is_in_step_with_the_code(name):
    assert (DOCS / name).read_text(encoding="utf-8") == GENERATED_PAGES[name]()


def test_check_reports_every_finding_with_its_place(tmp_path, capsys):
    path = tmp_path / "d.toml"
    path.write_text(BROKEN)
    assert main(["check", str(path)]) == 2
    said = capsys.readouterr().err
    for place in ("wrong", "services.s.slots", "services.Bad", "p.queue_share"):
        assert place in said
    assert "unknown_preset" in said


@pytest.mark.parametrize(
    ("text", "code"),
    [(b"[services.s\n", "bad_toml"), (b"\xff\xfe", "unreadable"), (None, "unreadable")],
)
def test_unreadable_declaration_is_one_finding(tmp_path, capsys, text, code):
    path = tmp_path / "d.toml"
    if text is not None:
        path.write_bytes(text)
    assert main(["check", str(path)]) == 2
    assert code in capsys.readouterr().err


def test_service_declared_twice_is_one_finding(tmp_path, capsys):
    path = tmp_path / "d.toml"
    path.write_text("[services.s]\n[services.s]\n")
    assert main(["check", str(path)]) == 2
    assert "bad_toml" in capsys.readouterr().err


def test_all_wrong_settings_are_reported_and_nothing_starts(capsys):
    flags = ["--door", "x", "--control", "127.0.0.1:7,y", "--threads", "none"]
    assert main(["run", *flags]) == 2
    said = capsys.readouterr().err
    for place in ("--host", "--zone", "--door", "--control", "--threads"):
        assert f"error: {place}: " in said


def test_unreachable_system_has_its_own_exit_status(capsys):
    assert main(["status", "--operator", "127.0.0.1:1"]) == 4
    assert "unreachable" in capsys.readouterr().err


def test_timeline_of_damaged_file_is_one_finding(tmp_path, capsys):
    path = tmp_path / "events.jsonl"
    path.write_text("{nonsense}\n")
    assert main(["timeline", str(path)]) == 2
    assert "bad_events" in capsys.readouterr().err


def test_shipped_deployments_have_no_findings(capsys):
    from guavastream import deployments

    for path in Path(deployments.__file__).parent.glob("*.toml"):
        assert main(["check", str(path)]) == 0
