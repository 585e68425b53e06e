"""All hosts lose power at one moment, and the most disks that may be lost are lost.

An operator was told that a change is accepted. At that moment all control hosts go
dark, and two of five come back with empty disks. The change must be in force when the
group has formed anew: it rests on the synced disks of three voters, so that whichever
two are lost, one that has it is left, and no two newcomers can outvote it. A voter
that said "stored" before its sync, or a file that was renamed without a sync of its
folder, would show here as an older configuration or as a group that never forms.
"""

import asyncio
import itertools
import os

import pytest

from guavastream.control import Storage
from guavastream.control.tests.test_fleet import FIRST, ROUTE, Core
from guavastream.emulator import FakeNetwork, run_paused
from guavastream.exception import GuavastreamError
from guavastream.fleet import ChangeRoutes

LOST_DISKS = 2
VOTERS = 5
# Writes and syncs of five voters for one change, and some that follow it.
STEPS = 12
SECOND = ChangeRoutes(base=1, version=2, digest=b"second", whole=False, routes=(ROUTE,))


class _NoPower(Exception):
    """A disk does nothing any more."""


class Power:
    """The power of all hosts; it fails at a step of any disk.

    Keeps for each folder what would be there after a loss of power: the content
    of each file as of its last sync, under the names of the folder's last sync.
    """

    def __init__(self):
        self.left = None
        self.off = asyncio.Event()
        self.kept = {}
        self._renamed = {}
        self._torn = {}

    def step(self):
        """Do one step of a disk, unless the power has failed."""
        if self.off.is_set():
            raise _NoPower
        if self.left is not None:
            self.left -= 1
            if self.left < 0:
                self.off.set()
                raise _NoPower

    def write(self, folder, name, content):
        self._torn[folder, name] = content

    def sync(self, folder, name, content):
        self.kept.setdefault(folder, {})[name] = content
        self._torn.pop((folder, name), None)

    def rename(self, folder, old, new):
        self._renamed.setdefault(folder, []).append((old, new))

    def sync_folder(self, folder):
        files = self.kept.setdefault(folder, {})
        for old, new in self._renamed.pop(folder, ()):
            if old in files:
                files[new] = files.pop(old)

    def lay_out(self, folder, target, *, torn):
        """Write what is left of a folder; with `torn` half of later writes too."""
        files = dict(self.kept.get(folder, {}))
        for (other, name), content in self._torn.items():
            synced = files.get(name, b"")
            if torn and other == folder and content.startswith(synced):
                more = content[len(synced) :]
                files[name] = synced + more[: len(more) // 2]
        os.makedirs(target, exist_ok=True)
        for name, content in files.items():
            with open(os.path.join(target, name), "wb") as file:
                file.write(content)


class PoweredStorage(Storage):
    """A disk that loses what is not synced when the power fails."""

    def __init__(self, *, folder, power):
        self._power = power
        super().__init__(folder=folder)

    def _content(self, file):
        name = os.path.basename(file.name)
        with open(file.name, "rb") as again:
            return name, again.read()

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


class PoweredCore(Core):
    """Control hosts that share one power line."""

    def __init__(self, folder, power):
        super().__init__(folder, FakeNetwork(seed=1), count=VOTERS)
        self._power = power

    def storage(self, folder):
        return PoweredStorage(folder=folder, power=self._power)

    async def offload(self, function, *args):
        try:
            return function(*args)
        except _NoPower:
            # The process ends with its host, in the middle of what it did.
            return await asyncio.Event().wait()


async def change_until_dark(folder, power, left):
    """Commit a change with a loss of power at a step; return what was accepted."""
    core = PoweredCore(folder, power)
    core.start_all()
    await core.until_full(VOTERS)
    await core.change(FIRST)
    # All voters have written what came before.
    await asyncio.sleep(2.0)
    power.left = left
    changing = asyncio.ensure_future(core.change(SECOND))
    dark = asyncio.ensure_future(power.off.wait())
    await asyncio.wait({changing, dark}, return_when=asyncio.FIRST_COMPLETED)
    accepted = changing.done() and changing.result().version
    # A step that is never reached: the power fails when all have written.
    await asyncio.wait({dark}, timeout=1.0)
    power.off.set()
    changing.cancel()
    for address in list(core.rafts):
        core.kill(address)
    return accepted or FIRST.version


async def read_after(folder, power, lost, *, torn):
    """Return the version in force after the power is back without some disks."""
    core = Core(folder, FakeNetwork(seed=2), count=VOTERS)
    for number, address in enumerate(core.addresses):
        disk = f"{address}-again"
        if number not in lost:
            before = str(folder.parent / "before" / address)
            power.lay_out(before, str(folder / disk), torn=torn)
        core.start(address, first=False, disk=disk)
    for _ in range(200):
        try:
            return await core.read()
        except GuavastreamError:
            await asyncio.sleep(0.1)
    raise AssertionError("nobody leads")


@pytest.mark.parametrize("left", range(STEPS + 1))
def test_what_was_accepted_survives_the_loss_of_power_and_two_disks(tmp_path, left):
    """The power fails at each single write and sync of a change in turn."""

    async def main():
        power = Power()
        accepted = await change_until_dark(tmp_path / "before", power, left)
        pairs = itertools.combinations(range(VOTERS), LOST_DISKS)
        for number, lost in enumerate(pairs):
            folder = tmp_path / f"after-{number}"
            version = await read_after(folder, power, lost, torn=number % 2 == 1)
            assert accepted <= version <= SECOND.version, (lost, accepted, version)

    run_paused(main())


def test_the_last_step_is_after_the_acknowledgement(tmp_path):
    # Else the steps above would not reach all that a change rests on.
    async def main():
        power = Power()
        assert await change_until_dark(tmp_path, power, STEPS) == SECOND.version

    run_paused(main())
