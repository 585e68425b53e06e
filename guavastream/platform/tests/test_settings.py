"""The platform's settings file."""

import pytest

from guavastream.exception import FindingsError
from guavastream.platform.settings import parse_settings, read_settings
from guavastream.routes import Granting

CORE = """\
NodeName=core-a-1
Serves=control_plane
Ip=10.1.0.46
Zone=a
Listen.Control=10.1.0.46:8620
InternalPorts=7600,7615
Seeds=10.1.0.46:8620,10.2.0.29:8620
Bootstrap=true
DataDir=/data
Heartbeat=870ms
FaultTolerance.Machines=2
Bounds.MaxHold=10000ms
Bounds.RetryBudgetRatio=0.2
New.Field=whatever
"""
SIDECAR = """\
NodeName=sidecar-a-1
Serves=sidecar
Ip=10.1.0.41
Zone=a
Listen.Control=10.1.0.41:8620
Listen.Outbound=10.1.0.41:8629
Listen.Inbound=10.1.0.41:8624
Listen.Ready=10.1.0.41:8625
InternalPorts=7600,7615
Seeds=10.1.0.46:8620
Service=s
"""


def test_a_control_host():
    settings = parse_settings(CORE)
    assert settings.peer == "10.1.0.46:7600"
    assert settings.seeds == ("10.1.0.46:7600", "10.2.0.29:7600")
    assert settings.first_start and settings.wanted_voters == 5
    assert settings.heartbeat == 0.87 and settings.metrics == "10.1.0.46:7615"


def test_a_host_beside_a_server():
    settings = parse_settings(SIDECAR)
    assert settings.outbound == "10.1.0.41:8629" and not settings.data
    assert not settings.first_start and settings.service == "s"
    assert parse_settings(SIDECAR + "Limits.LinkMbps=2\n").link_rate == 250_000


@pytest.mark.parametrize(
    "text, places",
    [
        (SIDECAR.replace("Zone=a\n", "").replace("Service=s", ""), ["Zone", "Service"]),
        (
            CORE.replace("10.1.0.46:8620\nInt", "nowhere\nInt").replace("870ms", "87"),
            ["Listen.Control", "Heartbeat"],
        ),
        (CORE.replace("Machines=2", "Machines=two"), ["FaultTolerance.Machines"]),
        (SIDECAR + "Limits.LinkMbps=-1\n", ["Limits.LinkMbps"]),
        (SIDECAR + "Limits.LinkMbps=nan\n", ["Limits.LinkMbps"]),
    ],
)
def test_every_bad_value_is_named(text, places):
    with pytest.raises(FindingsError) as caught:
        parse_settings(text)
    assert [finding.place for finding in caught.value.findings] == places


def test_a_file_that_is_not_there(tmp_path):
    path = str(tmp_path / "none")
    with pytest.raises(FindingsError) as caught:
        read_settings({"GUAVASTREAM_BOOT": path})
    assert caught.value.findings[0].place == path


def test_how_keys_are_granted():
    assert parse_settings(SIDECAR).granting is Granting.HEARTBEAT
    by_call = parse_settings(SIDECAR + "Grants=request\n")
    assert by_call.granting is Granting.CALL
    odd = parse_settings(SIDECAR + "Grants=pigeon\n")
    assert odd.granting is Granting.UNKNOWN
