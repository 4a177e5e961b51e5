import types
import unittest

import aiohttp
from aiohttp import web

from hemlockhoist.base import InvariantLog
from hemlockhoist.base.metrics import Metrics
from hemlockhoist.base.traces import Traces
from hemlockhoist.host.server import HttpServer
from hemlockhoist.host.settings import Settings

BUFFER_BYTES = 20_000
SETTINGS = Settings.from_values(
    {
        "platform_address": "127.0.0.1:1",
        "peer_key": "peer-key-of-the-test",
        "operator_key": "operator-key-of-the-test",
        "listen_address": "127.0.0.1:0",
        "stream_buffer_bytes": BUFFER_BYTES,
    }
)


async def write_buffer_limit(request):
    """Answer with the limit of the connection's write buffer."""
    _, high = request.transport.get_write_buffer_limits()
    return web.json_response(high)


class ServerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        identity = types.SimpleNamespace(new_request_id=lambda: "r")
        ready = types.SimpleNamespace(is_ready=lambda: True)
        context = types.SimpleNamespace(
            settings=SETTINGS,
            identity=identity,
            open_requests=0,
            traces=Traces.from_config(None, 0, "a"),
            metrics=Metrics(None),
            invariants=InvariantLog(fatal=True),
            configuration=ready,
            leaving=False,
        )
        chat = types.SimpleNamespace(
            create=write_buffer_limit,
            resume=write_buffer_limit,
            models=write_buffer_limit,
        )
        services = types.SimpleNamespace(handle=write_buffer_limit)
        operators = types.SimpleNamespace(add_routes=lambda router: None)
        self.server = HttpServer(context, chat, services, operators)
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    async def test_write_buffer_of_slow_caller_is_limited(self):
        """Guards against slow callers that exhaust the host's memory.

        Without a limit, the host would buffer all that the engine has sent for each
        caller on a slow link. The connection's write buffer has the limit of the
        setting.
        """
        url = f"http://{self.server.address}/v1/models"
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            self.assertEqual(await answer.json(), BUFFER_BYTES)
