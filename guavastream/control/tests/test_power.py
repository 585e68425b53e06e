"""Power failure of all control hosts with the loss of as many disks as allowed.

All control hosts lose power while a change is made or right after it was accepted,
and two of five come back with empty disks. An accepted change must still be in force:
it is synced on three disks, so one voter that has it is left whichever two are lost,
and the two empty ones cannot outvote it. A voter that acknowledges before its sync, or
a file renamed without syncing its folder, leads to an older configuration here or to a
group that never forms.
"""

import asyncio
import itertools
import os

import pytest

from guavastream.control import Storage
from guavastream.control.tests.test_fleet import FIRST_CHANGE, ROUTE, ControlCluster
from guavastream.emulator import FakeNetwork, run_paused
from guavastream.exception import GuavastreamError
from guavastream.fleet import ChangeRoutes

LOST_DISKS = 2
VOTERS = 5
# Writes and syncs of five voters for one change, and some after it.
STEPS = 12
SECOND = ChangeRoutes(base=1, version=2, digest=b"second", whole=False, routes=(ROUTE,))


class PowerFailure(Exception):
    """Raised by every disk operation after the power has failed."""


class Power:
    """Simulated power supply of all hosts; fails at a given disk operation.

    Tracks what each folder would contain after a power failure: the content of each
    file at its last sync, under the name it had at the folder's last sync.
    """

    def __init__(self):
        self.steps_left = None
        self.off = asyncio.Event()
        self.synced = {}
        self._renamed = {}
        self._unsynced = {}

    def step(self):
        """Count one disk operation; raise `PowerFailure` if the power is off."""
        if self.off.is_set():
            raise PowerFailure
        if self.steps_left is not None:
            self.steps_left -= 1
            if self.steps_left < 0:
                self.off.set()
                raise PowerFailure

    def write(self, folder, name, content):
        self._unsynced[folder, name] = content

    def sync(self, folder, name, content):
        self.synced.setdefault(folder, {})[name] = content
        self._unsynced.pop((folder, name), None)

    def rename(self, folder, old, new):
        self._renamed.setdefault(folder, []).append((old, new))

    def sync_folder(self, folder):
        files = self.synced.setdefault(folder, {})
        for old, new in self._renamed.pop(folder, ()):
            if old in files:
                files[new] = files.pop(old)

    def restore(self, folder, target, *, torn):
        """Write the surviving files of a folder to `target`.

        With `torn` half of the bytes appended since the last sync survive too.
        """
        files = dict(self.synced.get(folder, {}))
        for (other, name), content in self._unsynced.items():
            synced = files.get(name, b"")
            if torn and other == folder and content.startswith(synced):
                more = content[len(synced) :]
                files[name] = synced + more[: len(more) // 2]
        os.makedirs(target, exist_ok=True)
        for name, content in files.items():
            with open(os.path.join(target, name), "wb") as file:
                file.write(content)


class PoweredStorage(Storage):
    """Storage that reports each disk operation to `Power`."""

    def __init__(self, *, power, **options):
        self._power = power
        super().__init__(**options)

    def _content(self, file):
        name = os.path.basename(file.name)
        with open(file.name, "rb") as reader:
            return name, reader.read()

    def _write(self, file, data):
        self._power.step()
        super()._write(file, data)
        self._power.write(self._folder, *self._content(file))

    def _sync(self, file):
        self._power.step()
        super()._sync(file)
        self._power.sync(self._folder, *self._content(file))

    def _rename(self, old, new):
        self._power.step()
        super()._rename(old, new)
        names = os.path.basename(old), os.path.basename(new)
        self._power.rename(self._folder, *names)

    def _sync_folder(self):
        self._power.step()
        super()._sync_folder()
        self._power.sync_folder(self._folder)


class PoweredCore(ControlCluster):
    """Control hosts that share one power supply."""

    def __init__(self, folder, power):
        super().__init__(folder, FakeNetwork(seed=1), count=VOTERS)
        self._power = power

    def storage(self, folder):
        return PoweredStorage(
            folder=folder, power=self._power, new_identity=self.new_identity
        )

    async def offload(self, function, *args):
        try:
            return function(*args)
        except PowerFailure:
            # The host is off, so the operation never returns.
            return await asyncio.Event().wait()


async def change_until_power_failure(folder, power, steps):
    """Make a change while the power fails; return the last accepted version."""
    core = PoweredCore(folder, power)
    core.start_all()
    await core.wait_for_voters(VOTERS)
    await core.change(FIRST_CHANGE)
    # Let all voters write the first change.
    await asyncio.sleep(2.0)
    power.steps_left = steps
    changing = asyncio.ensure_future(core.change(SECOND))
    power_off = asyncio.ensure_future(power.off.wait())
    await asyncio.wait({changing, power_off}, return_when=asyncio.FIRST_COMPLETED)
    accepted = changing.done() and changing.result().version
    # If there are fewer operations than `steps`, the power fails after all of them.
    await asyncio.wait({power_off}, timeout=1.0)
    power.off.set()
    changing.cancel()
    for address in list(core.rafts):
        core.kill(address)
    return accepted or FIRST_CHANGE.version


async def read_after_restart(folder, power, lost, *, torn):
    """Restart all hosts without the `lost` disks; return the version in force."""
    core = ControlCluster(folder, FakeNetwork(seed=2), count=VOTERS)
    for number, address in enumerate(core.addresses):
        disk = f"{address}-again"
        if number not in lost:
            before = str(folder.parent / "before" / address)
            power.restore(before, str(folder / disk), torn=torn)
        core.start(address, first=False, disk=disk)
    for _ in range(200):
        try:
            return await core.read()
        except GuavastreamError:
            await asyncio.sleep(0.1)
    raise AssertionError("no control host became leader")


@pytest.mark.parametrize("steps", range(STEPS + 1))
def test_accepted_change_survives_a_power_failure_and_two_lost_disks(tmp_path, steps):
    """The power fails at each write and sync of a change in turn."""

    async def main():
        power = Power()
        accepted = await change_until_power_failure(tmp_path / "before", power, steps)
        pairs = itertools.combinations(range(VOTERS), LOST_DISKS)
        for number, lost in enumerate(pairs):
            folder = tmp_path / f"after-{number}"
            version = await read_after_restart(
                folder, power, lost, torn=number % 2 == 1
            )
            assert accepted <= version <= SECOND.version, (lost, accepted, version)

    run_paused(main())


def test_change_is_accepted_before_the_last_step(tmp_path):
    # Otherwise the test above would not cover every write that an accepted change
    # depends on.
    async def main():
        power = Power()
        assert (
            await change_until_power_failure(tmp_path, power, STEPS) == SECOND.version
        )

    run_paused(main())
