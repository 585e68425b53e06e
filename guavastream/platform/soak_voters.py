"""Control hosts that are lost, return and are replaced, and then lose two disks."""

import asyncio
import random
import shutil
import signal

from guavastream.platform.emulator import wait_until

__all__ = ["LOSING_PLATFORM", "ControlLosses"]

# Arguments of the emulated platform, in which two disks may be lost at once.
LOSSES = 2
LOSING_PLATFORM = {"control": 5, "spares": 12, "losses": LOSSES}
# Time for which a control host that is back, or new, still counts as lost.
CATCH_UP_SECONDS = 4.0
# Time after which the settings name control hosts that are there.
SEED_LAG_SECONDS = 3.0
# Time within which there is a leader after a loss.
RECOVERY_SECONDS = 15.0
DOWN_SECONDS = 0.7
MAX_PAUSE_SECONDS = 1.5


class ControlLosses:
    """Gives control hosts faults, and takes disks at the first moment allowed.

    Parameters
    ----------
    platform : EmulatedPlatform
        Its control hosts are exchanged.
    ledger : Ledger
        Gets a violation if there is no leader in time.
    seed : int
        Of the faults.
    """

    def __init__(self, *, platform, ledger, seed):
        self._platform = platform
        self._ledger = ledger
        self._rng = random.Random(seed)
        self._seed_tasks = set()
        self._ending = False
        self._task = None

    def start(self):
        """Begin to play."""
        self._task = asyncio.ensure_future(self._run())

    async def end(self):
        """Play the last series to its end."""
        self._ending = True
        await self._task

    async def _run(self):
        """Play series of faults, each followed by lost disks."""
        series = (
            self._replace_planned,
            self._replace_lost,
            self._return_after(signal.SIGKILL),
            self._return_after(signal.SIGTERM),
            self._return_after(signal.SIGSTOP),
            self._lose_two,
        )
        while not self._ending and len(self._platform.spares) >= LOSSES:
            play = self._rng.choice(series)
            await play()
            await self._lose_disks(play.__name__)

    def _pick(self, count=1):
        return self._rng.sample(self._platform.control_hosts, count)

    async def _pause(self):
        await asyncio.sleep(self._rng.uniform(0.0, MAX_PAUSE_SECONDS))

    async def _replace_planned(self):
        (old,) = self._pick()
        await self._start_spare()
        await asyncio.sleep(CATCH_UP_SECONDS)
        self._platform.control_hosts.remove(old)
        await old.terminate(signal.SIGTERM)
        self._update_seeds_later()

    async def _replace_lost(self):
        (old,) = self._pick()
        await self._lose_for_good(old)
        await self._pause()
        await self._start_spare()
        await asyncio.sleep(CATCH_UP_SECONDS)

    def _return_after(self, signal_number):
        async def play():
            (machine,) = self._pick()
            await self._strike(machine, signal_number)
            await self._pause()
            await self._bring_back(machine, signal_number)
            await asyncio.sleep(CATCH_UP_SECONDS)

        play.__name__ = f"return_after_{signal.Signals(signal_number).name}"
        return play

    async def _lose_two(self):
        """Give one control host a fault, and replace another one meanwhile."""
        away, gone = self._pick(2)
        signal_number = self._rng.choice((signal.SIGKILL, signal.SIGSTOP))
        await self._strike(away, signal_number)
        await self._pause()
        await self._lose_for_good(gone)
        await self._pause()
        await self._start_spare()
        await asyncio.sleep(2 * MAX_PAUSE_SECONDS)
        await self._bring_back(away, signal_number)
        await asyncio.sleep(CATCH_UP_SECONDS)

    async def _strike(self, machine, signal_number):
        machine.has_fault = True
        if signal_number is signal.SIGSTOP:
            machine.process.send_signal(signal_number)
        else:
            await machine.terminate(signal_number)

    async def _bring_back(self, machine, signal_number):
        if signal_number is signal.SIGSTOP:
            machine.process.send_signal(signal.SIGCONT)
        else:
            await self._platform.start_control(machine)
        machine.has_fault = False

    async def _lose_for_good(self, machine):
        self._platform.control_hosts.remove(machine)
        await machine.terminate()
        self._update_seeds_later()

    async def _start_spare(self):
        machine = self._platform.spares.pop()
        await self._platform.start_control(machine)
        self._platform.control_hosts.append(machine)

    def _update_seeds_later(self):
        async def update():
            await asyncio.sleep(SEED_LAG_SECONDS)
            self._platform.update_seeds(self._pick(3))

        task = asyncio.ensure_future(update())
        self._seed_tasks.add(task)
        task.add_done_callback(self._seed_tasks.discard)

    async def _lose_disks(self, after):
        """Take as many disks as allowed, at times while all others are killed too."""
        lost = self._pick(LOSSES)
        killed = (
            list(self._platform.control_hosts) if self._rng.random() < 0.5 else lost
        )
        await asyncio.gather(*(machine.terminate() for machine in killed))
        for machine in lost:
            shutil.rmtree(self._platform.folder / machine.name)
        await asyncio.sleep(DOWN_SECONDS)
        for machine in killed:
            await self._platform.start_control(machine)
        try:
            await wait_until(self._has_leader, RECOVERY_SECONDS)
        except TimeoutError:
            names = [machine.name for machine in lost]
            self._ledger.record_violation(
                "a leader is elected after lost disks", f"{names} after {after}"
            )
        await asyncio.sleep(CATCH_UP_SECONDS)

    async def _has_leader(self):
        """Whether a control host reads the newest configuration."""
        for machine in self._platform.control_hosts:
            status, _ = await self._platform.read_config(machine)
            if status == 200:
                return True
        return False
