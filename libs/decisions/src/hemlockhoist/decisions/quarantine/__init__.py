"""Prompts and requests that crash the upstreams that run them."""

from hemlockhoist.decisions.quarantine.abandoned_runs import AbandonedRuns
from hemlockhoist.decisions.quarantine.fingerprint import RequestFingerprints
from hemlockhoist.decisions.quarantine.limits import BLOCKED_CRASHES, KeptBack
from hemlockhoist.decisions.quarantine.open_copies import OpenCopies
from hemlockhoist.decisions.quarantine.part_hashes import part_hashes
from hemlockhoist.decisions.quarantine.quarantine import Quarantine

__all__ = [
    "BLOCKED_CRASHES",
    "AbandonedRuns",
    "KeptBack",
    "OpenCopies",
    "Quarantine",
    "RequestFingerprints",
    "part_hashes",
]
