"""Client for the operator requests of the hosts' HTTP API."""

import uuid

import msgspec


class OperatorRequestFailed(Exception):
    """A host refused an operator's request."""


class OperatorClient:
    """Applies declarations, starts version moves and reads host status.

    Parameters
    ==========
    session : aiohttp.ClientSession
    key : str
    addresses : callable
        Returns the hosts' addresses; requests go to the first one.
    """

    __slots__ = ("_addresses", "_headers", "_session")

    def __init__(self, session, key, addresses):
        self._session = session
        self._headers = {"Authorization": f"Bearer {key}"}
        self._addresses = addresses

    @classmethod
    def from_config(cls, session, key, addresses):
        """Return a client; the caller remains responsible for closing the session."""
        return cls(session, key, addresses)

    async def apply(self, declarations, read_version, author):
        """Apply declarations based on ``read_version``; return the new version.

        Parameters
        ==========
        declarations : hemlockhoist.declarations.Declarations
        read_version : int
        author : str
        """
        body = {
            "declarations": msgspec.to_builtins(declarations),
            "read_version": read_version,
            "change_id": uuid.uuid4().hex,
            "author": author,
        }
        answer = await self._call("PUT", "/-/declarations", body)
        return answer["version"]

    async def status(self, address):
        """Return one host's status document."""
        return await self._call_at(address, "GET", "/-/status")

    async def start_move(self, order):
        """Start a version move.

        Parameters
        ==========
        order : dict
            Body of ``POST /-/moves`` without the move's id.
        """
        body = {"move_id": uuid.uuid4().hex, **order}
        return await self._call("POST", "/-/moves", body)

    async def moves(self):
        """Return the most recent move of each pool."""
        return (await self._call("GET", "/-/moves"))["moves"]

    async def _call(self, method, path, body=None):
        return await self._call_at(self._addresses()[0], method, path, body)

    async def _call_at(self, address, method, path, body=None):
        url = f"http://{address}{path}"
        async with self._session.request(
            method, url, json=body, headers=self._headers
        ) as response:
            if response.status >= 300:
                text = await response.text()
                raise OperatorRequestFailed(
                    f"{method} {path}: {response.status} {text[:500]}"
                )
            return await response.json()
