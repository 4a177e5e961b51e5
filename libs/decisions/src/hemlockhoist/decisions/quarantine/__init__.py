"""Prompts and requests that crash the upstreams that run them."""

from hemlockhoist.decisions.quarantine.fingerprint import RequestFingerprints
from hemlockhoist.decisions.quarantine.limits import KeptBack
from hemlockhoist.decisions.quarantine.part_hashes import part_hashes
from hemlockhoist.decisions.quarantine.quarantine import Quarantine

__all__ = ["KeptBack", "Quarantine", "RequestFingerprints", "part_hashes"]
