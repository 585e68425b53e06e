"""Imports of a process on the platform at its start."""

import subprocess
import sys


def test_a_process_does_not_import_tls():
    # TLS is not used and costs 4 MB on each of about 200 hosts. Guards against blocking
    # its import only after asyncio, which imports it, has been loaded.
    command = [sys.executable, "-X", "importtime", "-m", "guavastream.platform"]
    completed = subprocess.run(
        command, capture_output=True, text=True, env={}, check=False
    )
    imported = {
        line.rpartition("|")[2].strip() for line in completed.stderr.splitlines()
    }
    assert "guavastream.hosts.settings" in imported
    # Checks `_ssl`, since failed attempts to import `ssl` are listed too.
    assert "_ssl" not in imported
    # Without settings the process reports that and exits.
    assert completed.returncode == 2
