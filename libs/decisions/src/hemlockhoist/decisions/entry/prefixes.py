"""Identification of prompt prefix blocks between hosts."""

import xxhash


def chained_hashes(names):
    """Return a hash of each prefix block of a prompt, chained to the preceding blocks.

    The hashes are the same on all hosts. An engine can reuse a cached block only behind
    the same preceding blocks, so two prompts share a hash only if they share all blocks
    up to it.

    Parameters
    ==========
    names : iterable of str
        Names of the blocks, in order.

    Returns
    =======
    tuple of int

    Examples
    ========
    >>> from hemlockhoist.decisions.entry import chained_hashes
    >>> first, second = chained_hashes(["a", "b"])
    >>> chained_hashes(["a"]) == (first,), chained_hashes(["b"]) == (second,)
    (True, False)
    """
    found, seed = [], 0
    for name in names:
        seed = xxhash.xxh64_intdigest(name.encode(), seed)
        found.append(seed)
    return tuple(found)
