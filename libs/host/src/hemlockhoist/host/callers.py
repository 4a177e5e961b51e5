"""Authenticates callers: caller keys, customers and the tier a request may have."""

import hashlib

import msgspec

from hemlockhoist.base import BadRequest, ResultCode
from hemlockhoist.declarations import Customer, Tier

TIER_HEADER = "X-Hemlockhoist-Tier"
_SCHEME = "Bearer "


class Caller(msgspec.Struct, frozen=True, kw_only=True):
    """An authenticated caller: its customer and the tier of the current request."""

    customer: Customer
    tier: Tier


class CallerDirectory:
    """Maps caller keys to customers.

    Parameters
    ==========
    declarations : hemlockhoist.declarations.Declarations
    """

    __slots__ = ("_by_digest", "_declarations")

    def __init__(self, declarations):
        self._declarations = declarations
        self._by_digest = {
            digest: customer
            for customer in declarations.customers
            for digest in customer.key_sha256
        }

    def authenticate(self, headers):
        """Return the caller of a request from its headers.

        Parameters
        ==========
        headers : mapping

        Raises
        ======
        BadRequest
            ``UNKNOWN_KEY``, with the same message whether the key is missing or wrong;
            ``TIER_NOT_ALLOWED``.
        """
        text = headers.get("Authorization", "")
        digest = hashlib.sha256(text.removeprefix(_SCHEME).encode()).hexdigest()
        customer = self._by_digest.get(digest)
        if customer is None or not text.startswith(_SCHEME):
            raise BadRequest("", ResultCode.UNKNOWN_KEY)
        return Caller(customer=customer, tier=self._tier(customer, headers))

    def _tier(self, customer, headers):
        highest = self._declarations.tier(customer.highest_tier)
        name = headers.get(TIER_HEADER)
        if name is None:
            return highest
        tier = self._declarations.tier(name)
        if tier is None or tier.rank < highest.rank:
            text = f"tier {name!r} is not allowed for this key"
            raise BadRequest(text, ResultCode.TIER_NOT_ALLOWED)
        return tier
