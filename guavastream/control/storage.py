"""Durable storage of the control log in checksummed, synced records."""

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
# Payload length in bytes and xxh3 checksum of the payload.
RECORD_HEADER = struct.Struct(">IQ")
ENTRIES_KEPT_BEFORE_SNAPSHOT = 500


@record
class Entry:
    """One entry of the log; `kind` is COMMAND or VOTERS."""

    index: int
    term: int
    kind: str = COMMAND
    data: bytes = b""


@record
class Meta:
    """Persistent identity, term and vote of a voter.

    `voter` identifies the disk. A host that lost its disk gets a new identity, so
    it cannot vote twice in a term under the old one. `voters` maps the voters with
    which the group was formed to their peer addresses.
    """

    voter: str
    term: int = 0
    voted_for: str = ""
    voters: dict[str, str] = msgspec.field(default_factory=dict)


@record
class Snapshot:
    """State and voters after the entry at `index` was applied."""

    index: int = 0
    term: int = 0
    data: bytes = b""
    voters: dict[str, str] = msgspec.field(default_factory=dict)


class Storage:
    """Metadata, snapshot and log of one voter, stored in one folder.

    Parameters
    ----------
    folder : str
        The data folder; created if it does not exist.
    new_identity : callable, optional
        Returns the identity of a voter whose folder is empty; random by default.

    Raises
    ------
    DamagedLog
        If a file is damaged other than by a torn last record of the log.

    Notes
    -----
    Each call of `append` writes one record and syncs it before it returns, so a
    crash can tear only the last record. An invalid record that is followed by a
    valid one is damage and not the result of a crash. An entry whose index already
    exists replaces that entry and all later ones.
    """

    def __init__(self, *, folder, new_identity=lambda: uuid.uuid4().hex):
        os.makedirs(folder, exist_ok=True)
        self._folder = folder
        # A cancelled task may leave a write running in its thread; the next write
        # must wait for it.
        self._lock = threading.Lock()
        self._log_end = 0
        self.snapshot = self._read_file("snapshot", Snapshot) or Snapshot()
        self.entries = []
        self._log = None
        meta = self._read_file("meta", Meta)
        if meta is None:
            meta = Meta(voter=new_identity())
            self._write_file("meta", meta)
        self.meta = meta
        self._load_log()

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
        """Index of the first stored entry, or the one after the snapshot."""
        return self.entries[0].index if self.entries else self.snapshot.index + 1

    @property
    def log_bytes(self):
        """Size of the log file in bytes."""
        return self._log_end

    def term_at(self, index):
        """Return the term of the entry at `index`, or None if it is not stored."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.first_index
        if 0 <= offset < len(self.entries):
            return self.entries[offset].term
        return 0 if index == 0 else None

    def slice(self, start, limit, max_bytes=math.inf):
        """Return up to `limit` entries from index `start`.

        Their data holds at most `max_bytes`, unless the first entry alone is larger.
        """
        offset = start - self.first_index
        entries = self.entries[offset : offset + limit]
        size = 0
        for number, entry in enumerate(entries):
            size += len(entry.data)
            if number and size > max_bytes:
                return tuple(entries[:number])
        return tuple(entries)

    def entries_after(self, index):
        """Return all entries after `index`."""
        return self.entries[max(0, index + 1 - self.first_index) :]

    def save_meta(self, **changes):
        """Change fields of the metadata and sync it to disk."""
        with self._lock:
            meta = replace(self.meta, **changes)
            self._write_file("meta", meta)
            self.meta = meta

    def append(self, entries):
        """Append entries to the log as one synced record."""
        if entries:
            self.write(entries)
            self.cache_entries(entries)

    def write(self, entries):
        """Write entries to disk as one synced record.

        The caller must pass them to `cache_entries` afterwards.

        Raises
        ------
        OSError
            If the write or sync fails; the record is not part of the log then.
        """
        data = _encode_entries(tuple(entries))
        with self._lock:
            # Remove what a failed write left behind: in front of the next record
            # it would be reported as damage at the next start.
            self._log.seek(self._log_end)
            self._log.truncate(self._log_end)
            self._write(self._log, data)
            self._sync(self._log)
            self._log_end += len(data)

    def cache_entries(self, entries):
        """Add entries to those in memory, replacing all from the first index on."""
        first = entries[0].index
        if self.entries and first <= self.entries[-1].index:
            del self.entries[max(0, first - self.entries[0].index) :]
        self.entries.extend(entries)

    def save_snapshot(self, snapshot, *, keep=ENTRIES_KEPT_BEFORE_SNAPSHOT):
        """Write a snapshot, then drop the entries that it covers.

        Parameters
        ----------
        snapshot : Snapshot
            The snapshot to write.
        keep : int
            Entries before the snapshot that are kept for slow replicas.
        """
        with self._lock:
            self._save_snapshot(snapshot, keep)

    def _save_snapshot(self, snapshot, keep):
        # The snapshot is written before the log is shortened: a crash in between
        # leaves superfluous entries, never a gap.
        self._write_file("snapshot", snapshot)
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

    def _load_log(self):
        path = self._path("log")
        if not os.path.exists(path):
            self._rewrite_log()
            return
        with open(path, "rb") as file:
            data = file.read()
        offset = 0
        while offset < len(data):
            entries, end = _decode_entries(data, offset)
            if entries is None:
                # A power failure may tear the last record in any way; even its
                # header may read as zeros. Only a valid record after it shows that
                # a record in the middle is damaged.
                if end < len(data) and _contains_record(data, offset + 1):
                    raise DamagedLog(path=path, offset=offset)
                break
            self.cache_entries(entries)
            offset = end
        self._open_log()
        if offset < len(data):
            self._log.truncate(offset)
            self._sync(self._log)
        self._log_end = offset
        if self.entries and self.entries[0].index > self.snapshot.index + 1:
            raise DamagedLog(path=path, offset=0)

    def _open_log(self):
        self._log = open(self._path("log"), "r+b", buffering=0)

    def _rewrite_log(self):
        data = _encode_entries(tuple(self.entries)) if self.entries else b""
        # If the disk is full, the longer log stays open and is written on.
        self._replace_file("log", data)
        if self._log:
            self._log.close()
        self._open_log()
        self._log_end = len(data)

    def _read_file(self, name, cls):
        path = self._path(name)
        if not os.path.exists(path):
            return None
        with open(path, "rb") as file:
            data = file.read()
        payload, end = _read_record(data, 0)
        if payload is None or end != len(data):
            raise DamagedLog(path=path, offset=0)
        return msgspec.msgpack.decode(payload, type=cls)

    def _write_file(self, name, item):
        self._replace_file(name, _encode_record(msgspec.msgpack.encode(item)))

    def _replace_file(self, name, data):
        # Without syncing the folder, a crash could bring back the old file after
        # the new one was relied on.
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


def _encode_record(payload):
    """Return a payload with its header."""
    return RECORD_HEADER.pack(len(payload), xxhash.xxh3_64_intdigest(payload)) + payload


def _encode_entries(entries):
    return _encode_record(msgspec.msgpack.encode(entries))


def _read_record(data, offset):
    """Return the payload of the record at `offset` and the offset after it.

    The payload is None if the record is incomplete or its checksum is wrong.
    """
    start = offset + RECORD_HEADER.size
    if start > len(data):
        return None, len(data)
    length, checksum = RECORD_HEADER.unpack_from(data, offset)
    end = min(start + length, len(data))
    payload = data[start:end]
    if len(payload) != length or xxhash.xxh3_64_intdigest(payload) != checksum:
        return None, end
    return payload, end


def _contains_record(data, offset):
    """Whether a valid record starts at `offset` or later."""
    for start in range(offset, len(data) - RECORD_HEADER.size):
        length, _ = RECORD_HEADER.unpack_from(data, start)
        if 0 < length <= len(data) - start - RECORD_HEADER.size:
            if _read_record(data, start)[0] is not None:
                return True
    return False


def _decode_entries(data, offset):
    """Return the entries of the record at `offset`, or None, and its end."""
    payload, end = _read_record(data, offset)
    if payload is None:
        return None, end
    return _entries_decoder.decode(payload), end
