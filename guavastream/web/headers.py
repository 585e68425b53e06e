"""Stricter reading of requests: what two servers could read in two ways."""

import msgspec
from cheroot import server as cheroot_server

__all__ = ["StrictConnection"]

# A second one of these changes where a request ends or where it goes.
SINGLE = (b"content-length", b"transfer-encoding", b"host")
SPACES = b" \t"


class _CheckedLines:
    """Header lines on their way to cheroot's reader.

    A server behind might read a folded line, a doubled length or a length
    beside chunks differently, and take part of one caller's body for another
    caller's request. Such requests are refused before anything is sent on.
    """

    def __init__(self, rfile):
        self._rfile = rfile
        self._seen = set()

    def readline(self):
        line = self._rfile.readline()
        if not line.strip():
            self._check_framing()
            return line
        if line[:1] in (b" ", b"\t"):
            raise ValueError("A header line must not be folded.")
        name, _, value = line.partition(b":")
        if not name or name.rstrip(SPACES) != name or b"\0" in line:
            raise ValueError("A header name is not right.")
        self._check_single(name.lower(), value.strip())
        return line

    def _check_single(self, name, value):
        if name not in SINGLE:
            return
        if name in self._seen:
            raise ValueError(f"There are two {name.decode()} headers.")
        self._seen.add(name)
        if name == b"content-length" and not value.isdigit():
            raise ValueError("Content-Length is not a number.")
        if name == b"transfer-encoding" and value.lower() != b"chunked":
            raise ValueError("Transfer-Encoding is not chunked.")

    def _check_framing(self):
        if {b"content-length", b"transfer-encoding"} <= self._seen:
            raise ValueError("There are a length and chunks at once.")


class _StrictReader(cheroot_server.HeaderReader):
    def __call__(self, rfile, hdict=None):
        return super().__call__(_CheckedLines(rfile), hdict)


class _StrictRequest(cheroot_server.HTTPRequest):
    header_reader = _StrictReader()

    def simple_response(self, status, msg=""):
        """Refuse what cannot be read, with a code and as not run."""
        status = str(status)
        self.close_connection = True
        item = {"code": "bad_request", "ran": "not run", "text": msg, "request": ""}
        body = msgspec.json.encode(item) + b"\n"
        head = (
            f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nGuavastream-Code: bad_request\r\n"
            "Guavastream-Ran: no\r\nConnection: close\r\n\r\n"
        )
        self.conn.wfile.write(head.encode("latin-1") + body)


class StrictConnection(cheroot_server.HTTPConnection):
    """A cheroot connection whose requests are read strictly."""

    RequestHandlerClass = _StrictRequest
