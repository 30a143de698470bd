"""Injects random sequences of faults into real nodes and checks the rules.

``python -m emulator.drawn [--count N] [--seed S] [--at-once N]`` draws new
sequences; each line begins with the seed that reproduces its sequence.
"""

import concurrent.futures
import random
import sys
import time

import attrs

from emulator import faults
from emulator import nodes
from emulator import rules
from emulator import seeds

_POOL = "trails"
_JOBS = 16
_JOB_GAP_SECONDS = 0.25
# Longer than the longest fault plus the takeover that follows it.
_SETTLE_SECONDS = 60.0
_LONGEST_PAUSE_SECONDS = 1.5
_FAULTS_PER_SEQUENCE = 3
_STEPS = [
    {"count": 4, "cpu": 4000, "estimated_ms": 300},
    {"count": 2, "cpu": 8000, "estimated_ms": 300, "after": [0]},
]
# Does nothing, or would leave no node or no VM if drawn three times. The last
# is left out so that seeds stand for the sequences that they stood for.
_EXCLUDED_FAULTS = frozenset(
    {
        "nothing fails",
        "the scheduler is killed",
        "the scheduler is stopped by SIGTERM",
        "a VM crashes for good",
        "a VM loses power for good",
        "a runner drains for 3 s and leaves for good",
        "the store is silent for 4 s and the registry's entries lapse",
    }
)


@attrs.frozen(kw_only=True)
class TimedFault:
    """A fault, and the seconds to wait before it is injected."""

    pause: float
    fault: str


def repeatable_faults():
    """Return the faults that a sequence may contain several times."""
    return tuple(
        each for each in faults.names() if each not in _EXCLUDED_FAULTS
    )


def draw_sequence(seed):
    """Return the sequence of faults that a seed stands for."""
    generator = random.Random(seed)
    return tuple(
        TimedFault(
            pause=generator.uniform(0.0, _LONGEST_PAUSE_SECONDS),
            fault=generator.choice(repeatable_faults()),
        )
        for _ in range(_FAULTS_PER_SEQUENCE)
    )


def play(sequence):
    """Inject a sequence under load; return a line for each problem."""
    with nodes.cluster(
        nodes=3, pools={_POOL: 4, "spare": 2}, standby=("spare",)
    ) as cluster:
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            injection = pool.submit(_inject_all, cluster, sequence)
            accepted = _submit_all(cluster)
            injection.result()
        return [
            *_unfinished(cluster, accepted),
            *rules.broken_rules(cluster.world),
        ]


def _inject_all(cluster, sequence):
    for timed_fault in sequence:
        time.sleep(timed_fault.pause)
        faults.inject(timed_fault.fault, cluster)


def _submit_all(cluster):
    """Submit the jobs, retrying each until it is accepted."""
    accepted = []
    for number in range(1, _JOBS + 1):
        name = f"{number:016x}"
        deadline = time.monotonic() + _SETTLE_SECONDS
        while time.monotonic() < deadline:
            node = cluster.nodes[random.randrange(len(cluster.nodes))]
            reply = cluster.submit(node, _POOL, name, _STEPS, seconds=0.3)
            if reply is not None and reply.status == 200:
                accepted.append(name)
                break
            time.sleep(_JOB_GAP_SECONDS)
        time.sleep(_JOB_GAP_SECONDS)
    return accepted


def _unfinished(cluster, accepted):
    if len(accepted) < _JOBS:
        yield f"only {len(accepted)} of {_JOBS} jobs were accepted"
    for name in accepted:
        try:
            cluster.wait_state(_POOL, name, "completed", _SETTLE_SECONDS)
        except AssertionError as error:
            yield str(error)


def _report(seed):
    sequence = draw_sequence(seed)
    problems = play(sequence)
    description = "; ".join(f"{s.pause:.2f} s, {s.fault}" for s in sequence)
    print(
        f"{seed}: {'WRONG' if problems else 'good'}: {description}", flush=True
    )
    for line in problems:
        print(f"  {line}", flush=True)
    return not problems


def main():
    """Run new sequences; return 1 if any had a problem."""
    options = seeds.add_options(__doc__, count=10).parse_args()
    return seeds.play_all(options, _report)


if __name__ == "__main__":
    sys.exit(main())
