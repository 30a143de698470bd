"""Makes the C library return the memory of large blocks when they are freed.

Python's large objects, and the buffers of the JSON parser, come from the C
library. It raises the size from which blocks are returned at once each time
that such a block is freed, up to 32 MiB, and keeps a heap for each thread. So
the largest request that each thread has served would stay in memory.
"""

import ctypes

# `M_MMAP_THRESHOLD` of mallopt(3). Setting it keeps it from being raised.
_MMAP_THRESHOLD_OPTION = -3
# The C library's initial value.
_MMAP_THRESHOLD_BYTES = 128 * 1024


def return_large_blocks() -> bool:
    """Return blocks of 128 KiB and more to the system once they are freed.

    To be called before threads are started. Returns false if the C library
    has no such option.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(mallopt(_MMAP_THRESHOLD_OPTION, _MMAP_THRESHOLD_BYTES))
