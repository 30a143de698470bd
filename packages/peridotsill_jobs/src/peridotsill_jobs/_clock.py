"""The two steady clocks: one that runs during a suspension, one not."""

import time


def awake_seconds() -> float:
    """Return steady seconds that don't count suspensions."""
    return time.monotonic()


def real_seconds() -> float:
    """Return steady seconds that go on during a suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> float:
    """Return the time of day in Unix milliseconds."""
    return time.time() * 1000.0
