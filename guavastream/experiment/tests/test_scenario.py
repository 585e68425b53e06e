"""Scenarios are read from files, and every mistake is told at once."""

import pytest

from guavastream.exception import FindingsError
from guavastream.experiment.scenario import load_scenario, shipped

GOOD = """
name = "small"
[[services]]
name = "pages"
speeds = [1.0, 2]
[[kinds]]
name = "page"
service = "pages"
rate = 10
"""


def load(tmp_path, text):
    path = tmp_path / "x.toml"
    path.write_text(text)
    return load_scenario(str(path))


def test_shipped_scenarios_are_sound():
    assert shipped()
    for name in shipped():
        assert load_scenario(name).kinds


def test_a_scenario_with_defaults(tmp_path):
    scenario = load(tmp_path, GOOD)
    assert scenario.services[0].speeds == (1.0, 2.0)
    assert scenario.kind("page").rate == 10.0 and not scenario.faults


def test_every_mistake_is_told(tmp_path):
    text = GOOD + 'rank = "high"\nhue = 1\n[[faults]]\nwhat = "flood"\n'
    with pytest.raises(FindingsError) as caught:
        load(tmp_path, text)
    places = {
        finding.place.rpartition("x.toml.")[2] for finding in caught.value.findings
    }
    assert places == {"kinds[0].rank", "kinds[0].hue", "faults[0].at"}


def test_names_that_mean_nothing_are_told(tmp_path):
    text = GOOD + 'calls = [{ kind = "stock" }]\n[[faults]]\nwhat = "flood"\nat = 1\n'
    text += 'service = "till"\nkind = "letter"\n'
    with pytest.raises(FindingsError) as caught:
        load(tmp_path, text)
    assert len(caught.value.findings) == 4


def test_what_is_no_file_is_told_with_the_shipped_names():
    with pytest.raises(FindingsError) as caught:
        load_scenario("no-such-scenario")
    assert "hot-key" in str(caught.value.findings[0])
