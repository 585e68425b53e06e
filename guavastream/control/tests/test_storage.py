"""Crashes and damaged files of the control log, tested on real files."""

import os
import shutil

import pytest

from guavastream.control import Raft, StateMachine
from guavastream.control.storage import Entry, Snapshot, Storage
from guavastream.control.voter import ENTRIES_PER_SNAPSHOT
from guavastream.emulator import FakeNetwork, run_paused
from guavastream.exception import DamagedLog


def make_entries(first, count, term=1):
    return [Entry(index=first + n, term=term, data=b"x" * n) for n in range(count)]


class Crash(Exception):
    """Simulated crash of the process."""


class CrashingStorage(Storage):
    """Crashes after `steps` writes and syncs; the failing write is torn in half."""

    def __init__(self, *, folder, steps):
        self.steps_left = steps
        super().__init__(folder=folder)

    def _step(self):
        self.steps_left -= 1
        return self.steps_left < 0

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


def run_workload(storage, acknowledged):
    """Append, save metadata and a snapshot; record what was acknowledged."""
    for number in range(1, 6):
        storage.append(make_entries(number * 2 - 1, 2))
        acknowledged["index"] = number * 2
        storage.save_meta(term=number)
        acknowledged["term"] = number
        if number == 3:
            storage.save_snapshot(Snapshot(index=5, term=1, data=b"s"), keep=2)
            acknowledged["snapshot"] = 5


@pytest.mark.parametrize("steps", range(60))
def test_crash_at_any_write_loses_nothing_acknowledged(tmp_path, steps):
    """A voter crashes at each of its writes and syncs in turn.

    Everything it acknowledged before must be there after its restart, because other
    voters and operators rely on it. The write in progress may be kept or lost.
    """
    acknowledged = {"index": 0, "term": 0, "snapshot": 0}
    try:
        run_workload(CrashingStorage(folder=str(tmp_path), steps=steps), acknowledged)
    except Crash:
        pass
    reopened = Storage(folder=str(tmp_path))
    assert reopened.last_index >= acknowledged["index"]
    assert reopened.meta.term >= acknowledged["term"]
    assert reopened.snapshot.index >= acknowledged["snapshot"]
    indexes = [entry.index for entry in reopened.entries]
    assert indexes == list(range(reopened.first_index, reopened.last_index + 1))
    reopened.append(make_entries(reopened.last_index + 1, 1))


def test_record_torn_at_any_byte_is_dropped(tmp_path):
    """A crash leaves any part of the last record; earlier records must be kept."""
    storage = Storage(folder=str(tmp_path / "whole"))
    storage.append(make_entries(1, 3))
    size = storage.log_bytes
    storage.append(make_entries(4, 2))
    for cut in range(size, storage.log_bytes):
        folder = tmp_path / f"cut{cut}"
        shutil.copytree(tmp_path / "whole", folder)
        os.truncate(folder / "log", cut)
        assert Storage(folder=str(folder)).last_index == 3


def test_damage_before_the_last_record_is_reported_with_its_offset(tmp_path):
    """The disk returns wrong bytes in the middle of the log.

    Truncating the log there would drop acknowledged entries, and the voter could
    help to elect a leader without them. It must refuse to start.
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
def test_damaged_meta_or_snapshot_is_refused(tmp_path, name):
    """A voter whose vote is lost could vote twice in a term; it must not start."""
    storage = Storage(folder=str(tmp_path))
    storage.append(make_entries(1, 3))
    storage.save_snapshot(Snapshot(index=2, term=1, data=b"state"))
    data = bytearray((tmp_path / name).read_bytes())
    data[-1] ^= 1
    (tmp_path / name).write_bytes(data)
    with pytest.raises(DamagedLog):
        Storage(folder=str(tmp_path))


def test_later_entry_replaces_conflicting_entries(tmp_path):
    """A follower replaces entries of a deposed leader by those of the new one.

    Both are in the log file, so after a restart the later record must win.
    """
    storage = Storage(folder=str(tmp_path))
    storage.append(make_entries(1, 5))
    storage.append(make_entries(3, 1, term=2))
    reopened = Storage(folder=str(tmp_path))
    assert [(e.index, e.term) for e in reopened.entries] == [(1, 1), (2, 1), (3, 2)]


def test_snapshots_bound_the_size_of_the_log(tmp_path):
    """Without dropping entries at each snapshot the log would fill the disk."""
    storage = Storage(folder=str(tmp_path))
    for first in range(1, 4000, 100):
        storage.append(make_entries(first, 100))
        storage.save_snapshot(Snapshot(index=first + 99, term=1, data=b"s"), keep=100)
    assert storage.log_bytes < 20_000
    assert Storage(folder=str(tmp_path)).last_index == storage.last_index


def test_trailing_zeros_are_dropped_as_a_torn_record(tmp_path):
    # After a power failure a file may have its new length but zeros as content.
    storage = Storage(folder=str(tmp_path))
    storage.append(make_entries(1, 2))
    storage.close()
    with open(tmp_path / "log", "ab") as file:
        file.write(bytes(500))
    reopened = Storage(folder=str(tmp_path))
    assert reopened.last_index == 2
    reopened.append(make_entries(3, 1))
    reopened.close()
    assert Storage(folder=str(tmp_path)).last_index == 3


class FullDisk(Storage):
    """Fails in the middle of each write while `full` is set."""

    full = False

    def _write(self, file, data):
        if self.full:
            file.write(bytes(data[: len(data) // 2]))
            raise OSError(28, "No space left on device")
        super()._write(file, data)


def test_failed_write_leaves_nothing_in_front_of_the_next_record(tmp_path):
    # A write fails halfway because the disk is full. If its bytes stay in the file
    # in front of the next record, the next start reports a damaged log.
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
    reopened = Storage(folder=str(tmp_path))
    assert reopened.last_index == 3 and reopened.meta.term == 0


@pytest.mark.parametrize("name", ["snapshot", "log"])
def test_disk_that_is_full_at_a_snapshot_keeps_the_log(tmp_path, name):
    """Guards against a log that stays closed when its shorter copy has no room."""

    class FullForOneFile(Storage):
        full = False

        def _replace_file(self, file_name, data):
            if self.full and file_name == name:
                raise OSError(28, "No space left on device")
            super()._replace_file(file_name, data)

    storage = FullForOneFile(folder=str(tmp_path))
    storage.append(make_entries(1, 5))
    storage.full = True
    with pytest.raises(OSError):
        storage.save_snapshot(Snapshot(index=3, term=1, data=b"x"), keep=0)
    storage.append(make_entries(6, 1))
    storage.close()
    again = Storage(folder=str(tmp_path))
    assert again.last_index == 6 and again.term_at(5) == 1
    again.close()


def test_voter_goes_on_without_a_snapshot_that_has_no_room(tmp_path):
    """Guards against a full disk that ends the replication to other voters."""

    async def scenario():
        storage = Storage(folder=str(tmp_path))
        raft = Raft(
            storage=storage,
            transport=FakeNetwork().transport("a"),
            address="a",
            peers=("a",),
            machine=StateMachine(),
        )

        def save_snapshot(snapshot):
            raise OSError(28, "No space left on device")

        storage.save_snapshot = save_snapshot
        storage.append(make_entries(1, ENTRIES_PER_SNAPSHOT))
        raft._set_commit(ENTRIES_PER_SNAPSHOT)
        assert raft.applied == ENTRIES_PER_SNAPSHOT

    run_paused(scenario())
