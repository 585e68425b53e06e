"""Crashes and damage of the control log, on real files."""

import os
import shutil

import pytest

from guavastream.control.storage import Entry, Snapshot, Storage
from guavastream.exception import DamagedLog


def make_entries(first, count, term=1):
    return [Entry(index=first + n, term=term, data=b"x" * n) for n in range(count)]


class Crash(Exception):
    """The process ends here."""


class CrashingStorage(Storage):
    """Ends at the `fatal`-th write or sync; a write is torn in the middle."""

    def __init__(self, *, folder, fatal):
        self.left = fatal
        super().__init__(folder=folder)

    def _step(self):
        self.left -= 1
        return self.left < 0

    def _write(self, file, data):
        if self._step():
            file.write(bytes(data[: len(data) // 2]))
            raise Crash
        super()._write(file, data)

    def _sync(self, file):
        if self._step():
            raise Crash
        super()._sync(file)

    def _sync_folder(self):
        if self._step():
            raise Crash
        super()._sync_folder()


def work(storage, acknowledged):
    """Do what a voter does; note each thing once it is acknowledged."""
    for number in range(1, 6):
        storage.append(make_entries(number * 2 - 1, 2))
        acknowledged["index"] = number * 2
        storage.save_meta(term=number)
        acknowledged["term"] = number
        if number == 3:
            storage.save_snapshot(Snapshot(index=5, term=1, data=b"s"), keep=2)
            acknowledged["snapshot"] = 5


@pytest.mark.parametrize("fatal", range(60))
def test_crash_at_every_write_loses_nothing_acknowledged(tmp_path, fatal):
    """A voter is killed at each of its writes and syncs in turn.

    What it had acknowledged before must be there after its restart: other
    voters and operators relied on it. What it was writing may or may not be.
    """
    acknowledged = {"index": 0, "term": 0, "snapshot": 0}
    try:
        work(CrashingStorage(folder=str(tmp_path), fatal=fatal), acknowledged)
    except Crash:
        pass
    again = Storage(folder=str(tmp_path))
    assert again.last_index >= acknowledged["index"]
    assert again.meta.term >= acknowledged["term"]
    assert again.snapshot.index >= acknowledged["snapshot"]
    indexes = [entry.index for entry in again.entries]
    assert indexes == list(range(again.first_index, again.last_index + 1))
    again.append(make_entries(again.last_index + 1, 1))


def test_tail_torn_at_any_byte_is_cut(tmp_path):
    """A crash leaves any part of the last record; the rest must stay whole."""
    storage = Storage(folder=str(tmp_path / "whole"))
    storage.append(make_entries(1, 3))
    size = storage.log_bytes
    storage.append(make_entries(4, 2))
    for cut in range(size, storage.log_bytes):
        folder = tmp_path / f"cut{cut}"
        shutil.copytree(tmp_path / "whole", folder)
        os.truncate(folder / "log", cut)
        assert Storage(folder=str(folder)).last_index == 3


def test_damage_before_the_tail_is_refused_with_its_place(tmp_path):
    """A disk returns other bytes than were written, in the middle of the log.

    Cutting there would forget acknowledged entries and let the voter help
    elect a leader without them, so it must not start at all.
    """
    storage = Storage(folder=str(tmp_path))
    storage.append(make_entries(1, 3))
    second = storage.log_bytes
    storage.append(make_entries(4, 3))
    storage.append(make_entries(7, 3))
    with open(tmp_path / "log", "r+b") as file:
        file.seek(second + 20)
        file.write(b"\xff\xfe\xfd")
    with pytest.raises(DamagedLog) as caught:
        Storage(folder=str(tmp_path))
    assert caught.value.offset == second
    assert caught.value.path.endswith("log")


@pytest.mark.parametrize("name", ["meta", "snapshot"])
def test_damaged_whole_file_is_refused(tmp_path, name):
    """A voter that forgot its vote could vote twice; it must not start."""
    storage = Storage(folder=str(tmp_path))
    storage.append(make_entries(1, 3))
    storage.save_snapshot(Snapshot(index=2, term=1, data=b"state"))
    data = bytearray((tmp_path / name).read_bytes())
    data[-1] ^= 1
    (tmp_path / name).write_bytes(data)
    with pytest.raises(DamagedLog):
        Storage(folder=str(tmp_path))


def test_later_entry_replaces_what_it_conflicts_with(tmp_path):
    """A follower held entries of a leader that lost; the new leader's win.

    The log is only appended to, so the order of records decides at restart.
    """
    storage = Storage(folder=str(tmp_path))
    storage.append(make_entries(1, 5))
    storage.append(make_entries(3, 1, term=2))
    again = Storage(folder=str(tmp_path))
    assert [(e.index, e.term) for e in again.entries] == [(1, 1), (2, 1), (3, 2)]


def test_folder_stays_bounded(tmp_path):
    """Snapshots keep the folder small however many changes pass."""
    storage = Storage(folder=str(tmp_path))
    for first in range(1, 4000, 100):
        storage.append(make_entries(first, 100))
        storage.save_snapshot(Snapshot(index=first + 99, term=1, data=b"s"), keep=100)
    assert storage.log_bytes < 20_000
    assert Storage(folder=str(tmp_path)).last_index == storage.last_index


def test_a_torn_head_of_zeros_is_a_torn_tail(tmp_path):
    # After a loss of power the file has its new length but not its bytes.
    storage = Storage(folder=str(tmp_path))
    storage.append(make_entries(1, 2))
    storage.close()
    with open(tmp_path / "log", "ab") as file:
        file.write(bytes(500))
    again = Storage(folder=str(tmp_path))
    assert again.last_index == 2
    again.append(make_entries(3, 1))
    again.close()
    assert Storage(folder=str(tmp_path)).last_index == 3


class FullDisk(Storage):
    """Refuses writes in the middle while `full`."""

    full = False

    def _write(self, file, data):
        if self.full:
            file.write(bytes(data[: len(data) // 2]))
            raise OSError(28, "No space left on device")
        super()._write(file, data)


def test_a_refused_write_leaves_nothing_before_the_next(tmp_path):
    # The half record of the refused write stood before the next one, and the
    # next start took it for damage in the middle of the log.
    storage = FullDisk(folder=str(tmp_path))
    storage.append(make_entries(1, 2))
    storage.full = True
    with pytest.raises(OSError):
        storage.append(make_entries(3, 5))
    with pytest.raises(OSError):
        storage.save_meta(term=9)
    assert storage.last_index == 2 and storage.meta.term == 0
    storage.full = False
    storage.append(make_entries(3, 1))
    storage.close()
    again = Storage(folder=str(tmp_path))
    assert again.last_index == 3 and again.meta.term == 0
