"""Client of an operators' door, for the command line and the bench."""

import msgspec

from guavastream.exception import Finding, FindingsError, GuavastreamError

__all__ = ["OperatorClient", "OperatorError", "read_token"]

TIMEOUT_SECONDS = 45.0


def read_token(path):
    """Return the operators' token in a file, or an empty string for no path.

    Raises
    ------
    FindingsError
        If the file cannot be read.
    """
    if not path:
        return ""
    try:
        with open(path, encoding="utf-8") as file:
            return file.read().strip()
    except OSError as error:
        text = f"{error.strerror}."
        raise FindingsError(
            [Finding(place="--token-file", code="unreadable", text=text)]
        ) from error


class OperatorError(GuavastreamError):
    """An operators' door refused or could not be reached.

    Parameters
    ----------
    code : str
        Code of the answer.
    text : str
        For people.
    answer : object
        Body of the answer, plain values.
    """

    def __init__(self, *, code, text, answer=None):
        self.code = code
        self.answer = answer
        super().__init__(text)


class OperatorClient:
    """Calls an operators' door.

    Parameters
    ----------
    address : str
        IP:PORT of the door.
    token : str
        Operators' token; empty for none.
    """

    def __init__(self, *, address, token=""):
        self._address = address
        self._headers = {"Content-Type": "application/json"}
        if token:
            self._headers["Authorization"] = f"Bearer {token}"
        import urllib3

        self._http = urllib3.PoolManager(retries=False)

    def ask(self, path, **query):
        """Return the plain values that a question is answered with."""
        return self._call("GET", path, fields=query or None)

    def tell(self, path, item):
        """Send a typed item and return the answer's plain values."""
        return self._call("POST", path, body=msgspec.json.encode(item))

    def _call(self, method, path, **options):
        from urllib3.exceptions import HTTPError

        try:
            answer = self._http.request(
                method,
                f"http://{self._address}/{path}",
                headers=self._headers,
                timeout=TIMEOUT_SECONDS,
                **options,
            )
        except HTTPError as error:
            text = f"{self._address} cannot be reached."
            raise OperatorError(code="unreachable", text=text) from error
        item = msgspec.json.decode(answer.data or b"null")
        if answer.status >= 400:
            said = item if isinstance(item, dict) else {}
            nested = said.get("answer") or said
            text = nested.get("text", "")
            if nested.get("winner"):
                text += f" The last change was {nested['winner']}."
            raise OperatorError(
                code=nested.get("code", str(answer.status)), text=text, answer=item
            )
        return item
