"""What a process on the platform takes in when it starts."""

import subprocess
import sys


def test_a_process_takes_in_no_tls():
    # Each of two hundred hosts held 4 MB for a protocol that none of them speaks:
    # it was left out only after asyncio, which brings it, had been imported.
    command = [sys.executable, "-X", "importtime", "-m", "guavastream.platform"]
    ended = subprocess.run(command, capture_output=True, text=True, env={}, check=False)
    imported = {line.rpartition("|")[2].strip() for line in ended.stderr.splitlines()}
    assert "guavastream.hosts.settings" in imported
    # Tries to import `ssl` itself are listed too, and fail.
    assert "_ssl" not in imported
    # Without settings it says so and ends.
    assert ended.returncode == 2
