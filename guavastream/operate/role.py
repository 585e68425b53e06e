"""The operators' door as a role of the daemon."""

import asyncio

from guavastream.http1 import Limits, Server
from guavastream.kernel import ROLES, Role, parse_address
from guavastream.operate.door import MAX_BODY_BYTES, OperatorDoor

__all__ = ["OperatorRole"]


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
            control=node.control,
            tables=node.tables,
            recorder=node.recorder,
            clock=asyncio.get_running_loop().time,
            token=token,
        )
        self._server = Server(
            address=parse_address(settings.operator),
            handler=door.handle,
            limits=Limits(body_bytes=MAX_BODY_BYTES),
        )
        await self._server.start()

    async def stop(self):
        await self._server.stop()
