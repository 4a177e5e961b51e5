"""What the parts of a prompt are called between hosts."""

import xxhash


def chained_hashes(names):
    """Return a hash of each part of a prompt, chained to the parts before it.

    The same on all hosts. A part is of use to an engine only behind the same parts, so
    that two prompts share a hash where they share all up to it.

    Parameters
    ==========
    names : iterable of str

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
