"""Parts of prompts that crash the upstreams that begin to answer them."""

from hemlockhoist.decisions.quarantine.part_hashes import part_hashes
from hemlockhoist.decisions.quarantine.quarantine import KeptBack, Quarantine

__all__ = ["KeptBack", "Quarantine", "part_hashes"]
