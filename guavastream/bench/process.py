"""What the kernel knows of a process: time, memory, bytes on loopback."""

import os
import time

__all__ = ["cpu_seconds", "loopback_bytes", "peak_mb", "resident_mb", "usage_over"]

TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
UTIME_FIELD = 11


def cpu_seconds(pid):
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[UTIME_FIELD]) + int(fields[UTIME_FIELD + 1])) / TICKS


def resident_mb(pid):
    """Return the resident memory of a process in MB."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES / 1e6


def peak_mb(pid):
    """Return the largest resident memory that a process has had, in MB."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmHWM"):
                return int(line.split()[1]) * 1024 / 1e6
    return 0.0


def loopback_bytes():
    """Return the bytes that have passed the loopback interface."""
    with open("/proc/net/dev", encoding="ascii") as file:
        for line in file:
            name, _, rest = line.partition(":")
            if name.strip() == "lo":
                return int(rest.split()[0])
    return 0


def usage_over(seconds, pids):
    """Return CPU seconds of each process and loopback bytes over a time."""
    cpu = {pid: cpu_seconds(pid) for pid in pids}
    before = loopback_bytes()
    time.sleep(seconds)
    spent = {pid: cpu_seconds(pid) - cpu[pid] for pid in pids}
    return spent, loopback_bytes() - before
