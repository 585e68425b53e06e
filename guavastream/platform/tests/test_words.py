"""Guards against names of the platform outside its adapter."""

import pathlib
import re

import guavastream

ROOT = pathlib.Path(guavastream.__file__).parent
PLATFORM_NAMES = re.compile(
    r"Response-Seal|Not-Executed|Server-Load|HeartbeatUrl|Expected-Instance"
    r"|Caller-Service|ColdRemaining|WeightedServices|Shard-Key|Instance-Id"
    r"|MaxAttempts|TargetLatency|PathPrefix|GUAVASTREAM_BOOT|InternalPorts"
    r"|/api/instances|/api/config|/api/readiness|/api/evacuation"
    r"|ColdPerS|ColdOverage|AllowedRegions|Server-Limit|Server-Leaving"
)


def test_names_of_the_platform_appear_only_in_its_adapter():
    found = [
        f"{path}: {match[0]}"
        for path in ROOT.rglob("*.py")
        if "platform" not in path.relative_to(ROOT).parts
        for match in [PLATFORM_NAMES.search(path.read_text(encoding="utf-8"))]
        if match
    ]
    assert found == []
