"""The operators' door as a role of the daemon."""

import asyncio

from guavastream.kernel import ROLES, Role
from guavastream.operate.door import OperatorDoor
from guavastream.web import HttpServer

__all__ = ["OperatorRole"]

THREADS = 8
MAX_BODY_BYTES = 4 << 20


@ROLES.register("operator")
class OperatorRole(Role):
    """Serves the command line at `--operator`."""

    @classmethod
    def wanted(cls, settings):
        return bool(settings.operator)

    async def start(self):
        node = self._node
        settings = node.settings
        token = ""
        if settings.operator_token_file:
            with open(settings.operator_token_file, encoding="utf-8") as file:
                token = file.read().strip()
        door = OperatorDoor(
            host=settings.host,
            control=node.control,
            tables=node.tables,
            recorder=node.recorder,
            loop=asyncio.get_running_loop(),
            token=token,
        )
        self._server = HttpServer(
            address=settings.operator,
            handler=door.handle,
            threads=THREADS,
            max_body=MAX_BODY_BYTES,
        )
        self._server.start()

    async def stop(self):
        await asyncio.to_thread(self._server.stop)
