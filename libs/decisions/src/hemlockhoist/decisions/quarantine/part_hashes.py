"""Identification of the parts of prompts between hosts."""

import xxhash

# More parts of one prompt are not looked at, to bound the size of messages.
MAX_PARTS = 32


def part_hashes(names):
    """Return a hash of each part of a prompt, whatever stands before it.

    Parameters
    ==========
    names : sequence of str

    Returns
    =======
    tuple of int
        At most ``MAX_PARTS``, in the order of the names.

    Examples
    ========
    >>> from hemlockhoist.decisions.quarantine import part_hashes
    >>> part_hashes(["a", "b"])[1] == part_hashes(["c", "b"])[1]
    True
    """
    return tuple(xxhash.xxh64_intdigest(name.encode()) for name in names[:MAX_PARTS])
