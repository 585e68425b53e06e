"""The control log on disk: checksummed records, synced before they count."""

import math
import os
import struct
import threading
import uuid

import msgspec
import xxhash

from guavastream.exception import DamagedLog
from guavastream.kernel import record, replace

__all__ = ["Entry", "Meta", "Snapshot", "Storage"]

COMMAND = "command"
VOTERS = "voters"
# Length of the payload in bytes and its xxh3 checksum.
HEADER = struct.Struct(">IQ")
KEPT_BEHIND_SNAPSHOT = 500


@record
class Entry:
    """One entry of the log; `kind` is COMMAND or VOTERS."""

    index: int
    term: int
    kind: str = COMMAND
    data: bytes = b""


@record
class Meta:
    """What a voter must never forget.

    `voter` names this disk: a host that lost its disk gets another one and
    so cannot vote twice in a term. `voters` are those the group was formed
    with, disk to peer address.
    """

    voter: str
    term: int = 0
    voted_for: str = ""
    voters: dict[str, str] = msgspec.field(default_factory=dict)


@record
class Snapshot:
    """State after `index`, with the voters of that moment."""

    index: int = 0
    term: int = 0
    data: bytes = b""
    voters: dict[str, str] = msgspec.field(default_factory=dict)


class Storage:
    """Meta, snapshot and log of one voter in one folder.

    Parameters
    ----------
    folder : str
        The data folder; made if it does not exist.

    Raises
    ------
    DamagedLog
        If a file is damaged elsewhere than in the log's tail.

    Notes
    -----
    Each call of `append` writes one record and syncs it before the next, so
    only the last record can be torn by a crash. A record that does not check
    and is followed by more bytes is damage, not a crash. An entry whose index
    is already taken replaces that one and all later ones.
    """

    def __init__(self, *, folder):
        os.makedirs(folder, exist_ok=True)
        self._folder = folder
        # A write that a cancelled task has left behind in a thread must end
        # before the next one begins.
        self._lock = threading.Lock()
        self._end = 0
        self.snapshot = self._read_whole("snapshot", Snapshot) or Snapshot()
        self.entries = []
        self._log = None
        meta = self._read_whole("meta", Meta)
        if meta is None:
            meta = Meta(voter=uuid.uuid4().hex)
            self._write_whole("meta", meta)
        self.meta = meta
        self._recover_log()

    @property
    def last_index(self):
        """Index of the last entry, or that of the snapshot."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def last_term(self):
        """Term of the last entry, or that of the snapshot."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def first_index(self):
        """Index of the first entry that is still kept."""
        return self.entries[0].index if self.entries else self.snapshot.index + 1

    @property
    def log_bytes(self):
        """Size of the log file in bytes."""
        return self._end

    def term_at(self, index):
        """Return the term of an entry, or None if it is not kept."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.first_index
        if 0 <= offset < len(self.entries):
            return self.entries[offset].term
        return 0 if index == 0 else None

    def slice(self, start, limit, most_bytes=math.inf):
        """Return up to `limit` entries from index `start`.

        They hold `most_bytes` at most, but for a single one that is larger.
        """
        offset = start - self.first_index
        entries = self.entries[offset : offset + limit]
        size = 0
        for number, entry in enumerate(entries):
            size += len(entry.data)
            if number and size > most_bytes:
                return tuple(entries[:number])
        return tuple(entries)

    def save_meta(self, **changes):
        """Change the meta and sync it."""
        with self._lock:
            meta = replace(self.meta, **changes)
            self._write_whole("meta", meta)
            self.meta = meta

    def append(self, entries):
        """Append entries as one synced record."""
        if entries:
            self.write(entries)
            self.take(entries)

    def write(self, entries):
        """Write entries as one record and sync it; `take` must follow.

        Raises
        ------
        OSError
            If the disk refuses; nothing of the record counts then.
        """
        data = _pack(tuple(entries))
        with self._lock:
            # What a refused write left behind must not stand before the next
            # record, or a later start would take it for damage.
            self._log.seek(self._end)
            self._log.truncate(self._end)
            self._write(self._log, data)
            self._sync(self._log)
            self._end += len(data)

    def take(self, entries):
        """Hold entries in memory; the first may replace what is held."""
        first = entries[0].index
        if self.entries and first <= self.entries[-1].index:
            del self.entries[max(0, first - self.entries[0].index) :]
        self.entries.extend(entries)

    def save_snapshot(self, snapshot, *, keep=KEPT_BEHIND_SNAPSHOT):
        """Write a snapshot, then drop the entries that it makes needless.

        Parameters
        ----------
        snapshot : Snapshot
            State and where it stands in the log.
        keep : int
            Entries before the snapshot that stay for slow replicas.
        """
        with self._lock:
            self._save_snapshot(snapshot, keep)

    def _save_snapshot(self, snapshot, keep):
        # The snapshot is on disk before the log shrinks: a crash between the
        # two leaves entries that the next start skips, never a gap.
        self._write_whole("snapshot", snapshot)
        known = self.term_at(snapshot.index) == snapshot.term
        entries = self.entries if known else []
        self.snapshot = snapshot
        self.entries = [e for e in entries if e.index > snapshot.index - keep]
        if self.entries and self.entries[0].index > snapshot.index + 1:
            self.entries = []
        self._rewrite_log()

    def close(self):
        """Close the log file."""
        self._log.close()

    def _path(self, name):
        return os.path.join(self._folder, name)

    def _recover_log(self):
        path = self._path("log")
        if not os.path.exists(path):
            self._rewrite_log()
            return
        with open(path, "rb") as file:
            data = file.read()
        offset = 0
        while offset < len(data):
            entries, end = _unpack(data, offset)
            if entries is None:
                # After a loss of power the last record may be torn in any
                # way, zeros for its head included; only a whole record that
                # follows shows that one in the middle was damaged.
                if end < len(data) and _has_record(data, offset + 1):
                    raise DamagedLog(path=path, offset=offset)
                break
            self.take(entries)
            offset = end
        self._open_log()
        if offset < len(data):
            self._log.truncate(offset)
            self._sync(self._log)
        self._end = offset
        if self.entries and self.entries[0].index > self.snapshot.index + 1:
            raise DamagedLog(path=path, offset=0)

    def _open_log(self):
        self._log = open(self._path("log"), "r+b", buffering=0)

    def _rewrite_log(self):
        if self._log:
            self._log.close()
        data = _pack(tuple(self.entries)) if self.entries else b""
        self._replace("log", data)
        self._open_log()
        self._end = len(data)

    def _read_whole(self, name, cls):
        path = self._path(name)
        if not os.path.exists(path):
            return None
        with open(path, "rb") as file:
            data = file.read()
        payload, end = _checked(data, 0)
        if payload is None or end != len(data):
            raise DamagedLog(path=path, offset=0)
        return msgspec.msgpack.decode(payload, type=cls)

    def _write_whole(self, name, item):
        self._replace(name, _frame(msgspec.msgpack.encode(item)))

    def _replace(self, name, data):
        # Without the sync of the folder a crash may bring back the old file
        # after the new one was relied upon.
        path = self._path(name)
        with open(path + ".new", "wb", buffering=0) as file:
            self._write(file, data)
            self._sync(file)
        self._rename(path + ".new", path)
        self._sync_folder()

    def _write(self, file, data):
        view = memoryview(data)
        while view:
            view = view[file.write(view) :]

    def _rename(self, old, new):
        os.replace(old, new)

    def _sync(self, file):
        os.fsync(file.fileno())

    def _sync_folder(self):
        fd = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)


_entries_decoder = msgspec.msgpack.Decoder(tuple[Entry, ...])


def _frame(payload):
    return HEADER.pack(len(payload), xxhash.xxh3_64_intdigest(payload)) + payload


def _pack(entries):
    return _frame(msgspec.msgpack.encode(entries))


def _checked(data, offset):
    """Return the payload at `offset`, or None, and where the next one starts."""
    start = offset + HEADER.size
    if start > len(data):
        return None, len(data)
    length, checksum = HEADER.unpack_from(data, offset)
    end = min(start + length, len(data))
    payload = data[start:end]
    if len(payload) != length or xxhash.xxh3_64_intdigest(payload) != checksum:
        return None, end
    return payload, end


def _has_record(data, offset):
    """Whether a whole record starts anywhere from `offset` on."""
    for start in range(offset, len(data) - HEADER.size):
        length, _ = HEADER.unpack_from(data, start)
        if 0 < length <= len(data) - start - HEADER.size:
            if _checked(data, start)[0] is not None:
                return True
    return False


def _unpack(data, offset):
    payload, end = _checked(data, offset)
    if payload is None:
        return None, end
    return _entries_decoder.decode(payload), end
