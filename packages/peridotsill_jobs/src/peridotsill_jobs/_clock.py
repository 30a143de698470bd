"""The monotonic clocks, with and without suspended time, and Unix time."""

import time


def monotonic_seconds() -> float:
    """Return monotonic seconds that don't count time suspended."""
    return time.monotonic()


def boottime_seconds() -> float:
    """Return monotonic seconds that count time suspended as well."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> float:
    """Return the wall-clock time in Unix milliseconds."""
    return time.time() * 1000.0
