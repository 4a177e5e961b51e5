"""Identity of a host process: its id, its incarnation and its addresses."""

import secrets

import msgspec

_INCARNATION_BYTES = 8
_REQUEST_BYTES = 10


class HostIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """Distinguishes a host process from all others, earlier ones included.

    Parameters
    ==========
    name : str
        For display.
    incarnation : str
        Drawn at random at each start. A host has no disk, so a counter could not
        survive a restart; 64 random bits do not repeat in the lifetime of a fleet.
    address : str
        ``IP:port`` for callers and operators.
    host_id : str
        ``IP:port`` for peers, which identifies the host.
    failure_domain : str
    """

    name: str
    incarnation: str
    address: str
    host_id: str
    failure_domain: str

    def new_request_id(self):
        """Return a request id that is unique in the fleet."""
        return f"{self.incarnation}-{secrets.token_hex(_REQUEST_BYTES)}"


def new_incarnation():
    """Return a random incarnation for a process that has just started."""
    return secrets.token_hex(_INCARNATION_BYTES)
