"""Identification of a request over its attempts, hosts and homes."""

import hashlib

DIGEST_BYTES = 8
_LENGTH_BYTES = 8
_PURPOSE = b"request"


class RequestFingerprints:
    """Computes a keyed digest of what a request is, whatever id it was sent under.

    The key is shared by all hosts of a fleet. Without it, a caller could make up a
    request with the digest of another one, and have that one kept back.

    Parameters
    ==========
    key : bytes, optional

    Examples
    ========
    >>> from hemlockhoist.decisions.quarantine import RequestFingerprints
    >>> fingerprints = RequestFingerprints(b"key")
    >>> call = ("one", "GET", "/halls/1", b"", ())
    >>> fingerprints.of(*call) == fingerprints.of(*call)
    True
    >>> fingerprints.of(*call) == fingerprints.of("two", *call[1:])
    False
    """

    __slots__ = ("_hash",)

    def __init__(self, key=b""):
        bounded_key = hashlib.blake2b(key).digest()
        self._hash = hashlib.blake2b(
            digest_size=DIGEST_BYTES, key=bounded_key, person=_PURPOSE
        )

    def of(self, customer, method, target, body=b"", part_names=()):
        """Return the fingerprint of a request, which is never 0.

        Parameters
        ==========
        customer, method : str
        target : str
            Host name, path and query.
        body : bytes
        part_names : sequence of str
            The names of all parts of its prompt.

        Returns
        =======
        int
            Of 64 bits.
        """
        found = self._hash.copy()
        names = (customer, method, target, *part_names)
        for field in (*(name.encode(errors="surrogatepass") for name in names), body):
            # With its length, so that no text moves from one field into the next.
            found.update(len(field).to_bytes(_LENGTH_BYTES, "big"))
            found.update(field)
        return int.from_bytes(found.digest(), "big") or 1
