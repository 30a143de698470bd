"""Limits on what the peers of a process may make it read, keep or wait for.

A peer decides the length and the speed of what it sends, and how fast it
reads. docs/design/limits.md lists each read with its limit.
"""

import attrs

from peridotsill import _codec

# A peer that sends a response, or reads one, at least this fast is not given
# up for its time. One that moves a byte at a time gains nothing by it.
MIN_BYTES_PER_SECOND = 16384
# What a receive buffer takes beside the largest header, as the kernel counts
# its own overhead as well.
_RECEIVE_OVERHEAD_BYTES = 4096


@attrs.frozen(kw_only=True)
class PeerLimits:
    """Settings of the limits; sizes in bytes, times in seconds.

    ``line_bytes`` is the longest line before a chunk or in a trailer, and
    ``trailer_bytes`` the largest trailer. ``body_memory_bytes`` is what the
    bodies of all requests to a listener may hold at once; one body of the
    allowed size always fits. ``receive_buffer_bytes`` and
    ``send_buffer_bytes`` are the sizes of a connection's buffers in the
    kernel, which doubles them; 0 leaves them to the kernel. A receive buffer
    has at least 4 KiB beside the largest header.

    ``connections`` may be open at the callers' listener at once, and
    ``internal_connections`` at each other one. ``waiting_share`` is the share
    of a listener's threads that may wait for slow clients, at least one, and
    ``response_seconds`` is how long a client may keep a response waiting,
    beside a second for each 16 KiB that it has read.

    ``response_bytes`` is the largest body of a response to a blocking call,
    ``runner_response_bytes`` that of one to a call to a runner, and
    ``response_header_bytes`` the largest header of both.
    ``responses_memory_bytes`` is what the bodies of all responses to blocking
    calls may hold at once, and ``runner_responses_memory_bytes`` the same for
    calls to runners. ``job_steps`` is the largest number of steps of a job.
    """

    line_bytes: int = _codec.bounded(
        minimum=64, maximum=1 << 20, default=16384
    )
    trailer_bytes: int = _codec.bounded(
        minimum=64, maximum=1 << 20, default=16384
    )
    body_memory_bytes: int = _codec.bounded(
        minimum=65536, maximum=1 << 34, default=64 << 20
    )
    receive_buffer_bytes: int = _codec.bounded(
        minimum=0, maximum=1 << 24, default=20480
    )
    send_buffer_bytes: int = _codec.bounded(
        minimum=0, maximum=1 << 24, default=0
    )
    connections: int = _codec.bounded(minimum=8, maximum=100000, default=2000)
    internal_connections: int = _codec.bounded(
        minimum=8, maximum=100000, default=256
    )
    waiting_share: float = _codec.bounded(
        minimum=0.01, maximum=0.95, default=0.67
    )
    response_seconds: float = _codec.bounded(
        minimum=0.1, maximum=3600, default=60.0
    )
    response_bytes: int = _codec.bounded(
        minimum=4096, maximum=1 << 32, default=32 << 20
    )
    runner_response_bytes: int = _codec.bounded(
        minimum=4096, maximum=1 << 32, default=8 << 20
    )
    response_header_bytes: int = _codec.bounded(
        minimum=1024, maximum=1 << 24, default=65536
    )
    responses_memory_bytes: int = _codec.bounded(
        minimum=65536, maximum=1 << 34, default=32 << 20
    )
    runner_responses_memory_bytes: int = _codec.bounded(
        minimum=65536, maximum=1 << 34, default=16 << 20
    )
    job_steps: int = _codec.bounded(minimum=1, maximum=1 << 20, default=4096)

    def with_header_space(self, header_bytes: int) -> "PeerLimits":
        """Return these limits with receive buffers that hold a whole header.

        A listener's thread gets a connection once its header is complete in
        the kernel; one that does not fit would time out.
        """
        if not self.receive_buffer_bytes:
            return self
        size = max(
            self.receive_buffer_bytes, header_bytes + _RECEIVE_OVERHEAD_BYTES
        )
        return attrs.evolve(self, receive_buffer_bytes=size)
