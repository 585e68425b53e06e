"""Asks doors for their health, as a careful caller does."""

import threading

import urllib3

__all__ = ["DoorHealth"]

PAUSE_SECONDS = 0.2
TIMEOUT_SECONDS = 0.2


class DoorHealth:
    """Keeps a list of the doors that are well.

    Parameters
    ----------
    addresses : list of str
        All doors, IP:PORT.
    """

    def __init__(self, *, addresses):
        self._addresses = addresses
        self._well = list(addresses)
        self._stopped = threading.Event()
        self._http = urllib3.PoolManager(retries=False, num_pools=128)
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def well(self):
        """Doors that said they are well; all of them if none did."""
        return self._well or self._addresses

    def start(self):
        """Begin to ask."""
        self._well = [a for a in self._addresses if self._is_well(a)]
        self._thread.start()

    def stop(self):
        """Stop asking."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self):
        while not self._stopped.wait(PAUSE_SECONDS):
            self._well = [a for a in self._addresses if self._is_well(a)]

    def _is_well(self, address):
        try:
            answer = self._http.request(
                "GET",
                f"http://{address}/.guavastream/health",
                timeout=TIMEOUT_SECONDS,
            )
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200
