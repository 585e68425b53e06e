"""Tests that scenarios are loaded and that all of their errors are reported."""

import pytest

from guavastream.exception import FindingsError
from guavastream.experiment.scenario import load_scenario, shipped_scenarios

VALID_SCENARIO = """
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


def test_shipped_scenarios_load_without_findings():
    assert shipped_scenarios()
    for name in shipped_scenarios():
        assert load_scenario(name).kinds


def test_missing_fields_get_defaults(tmp_path):
    scenario = load(tmp_path, VALID_SCENARIO)
    assert scenario.services[0].speeds == (1.0, 2.0)
    assert scenario.kind("page").rate == 10.0 and not scenario.faults


def test_all_invalid_fields_are_reported_at_once(tmp_path):
    text = VALID_SCENARIO + 'rank = "high"\nhue = 1\n[[faults]]\nwhat = "flood"\n'
    with pytest.raises(FindingsError) as error_info:
        load(tmp_path, text)
    places = {
        finding.place.rpartition("x.toml.")[2] for finding in error_info.value.findings
    }
    assert places == {"kinds[0].rank", "kinds[0].hue", "faults[0].at"}


def test_unknown_names_are_reported(tmp_path):
    text = (
        VALID_SCENARIO
        + 'calls = [{ kind = "stock" }]\n[[faults]]\nwhat = "flood"\nat = 1\n'
    )
    text += 'service = "till"\nkind = "letter"\n'
    with pytest.raises(FindingsError) as error_info:
        load(tmp_path, text)
    assert len(error_info.value.findings) == 4


def test_missing_file_is_reported_with_names_of_shipped_scenarios():
    with pytest.raises(FindingsError) as error_info:
        load_scenario("no-such-scenario")
    assert "hot-key" in str(error_info.value.findings[0])
