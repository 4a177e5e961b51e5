import types
import unittest

from hemlockhoist.base import ResultCode
from hemlockhoist.cli import client
from hemlockhoist.cli.errors import RemoteError

DEEPLY_NESTED = b'{"x":' + b"[" * 200_000


class _Response:
    def __init__(self, status):
        self.status = status
        self.content = self

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        return None

    async def iter_any(self):
        yield DEEPLY_NESTED


class OddAnswerTests(unittest.IsolatedAsyncioTestCase):
    async def test_deeply_nested_answer_is_an_error_of_the_host(self):
        """Guards against a command that ends with a traceback on an odd answer."""
        for status in (200, 500):
            with self.subTest(status=status):
                session = types.SimpleNamespace(
                    request=lambda *_, status=status, **__: _Response(status)
                )
                caller = types.SimpleNamespace(_ca_file="", _session=session)
                call = client.OperatorClient._call_host
                with self.assertRaises(RemoteError) as caught:
                    await call(caller, "h", "GET", "/-/moves", client._ErrorBody, None)
                self.assertIsInstance(caught.exception.code, ResultCode)


if __name__ == "__main__":
    unittest.main()
