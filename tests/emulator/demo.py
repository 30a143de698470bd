"""Demo of the job interface on the stand-in.

Three nodes share a store. Jobs of two steps are submitted to all of them,
every third one twice; a long-lived job is cancelled, and the scheduler is
killed. Exits with 1 if a rule was broken.
"""

import sys
import time

from emulator import nodes
from emulator import rules

_POOL = "trails"
_JOBS = 24
_TASKS = 4
_VMS = 4
_STANDBY_VMS = 2
_COMPLETION_SECONDS = 60.0
_STEPS = [
    {"count": _TASKS, "cpu": 2000, "estimated_ms": 300},
    {"count": 1, "cpu": 1000, "estimated_ms": 300, "after": [0]},
]
_LONG_LIVED_STEPS = [{"count": 2, "cpu": 1000, "long_lived": True}]


def main():
    """Run the demo and return the exit code."""
    began = time.monotonic()
    print(f"\nstarting a store, {_VMS + _STANDBY_VMS} VMs and 3 job nodes")
    with nodes.cluster(
        nodes=3,
        pools={_POOL: _VMS, "spare": _STANDBY_VMS},
        standby=("spare",),
    ) as cluster:
        names = [f"{number:016x}" for number in range(1, _JOBS + 1)]
        long_lived_job = f"{_JOBS + 1:016x}"
        print(f"submitting {_JOBS} jobs of two steps, each third one twice")
        _submit(cluster, long_lived_job, _LONG_LIVED_STEPS, 0)
        for number, name in enumerate(names):
            _submit(cluster, name, _STEPS, number)
            if number % 3 == 0:
                _submit(cluster, name, _STEPS, number + 1)
        cluster.wait_state(_POOL, long_lived_job, "running", 10.0)
        cluster.cancel(cluster.nodes[1], _POOL, long_lived_job)
        print("killing the scheduler")
        cluster.scheduler().kill()
        for name in names:
            cluster.wait_state(_POOL, name, "completed", _COMPLETION_SECONDS)
        cluster.wait_state(_POOL, long_lived_job, "cancelled", 10.0)
        rules_held = _summarize(cluster, names, long_lived_job)
    print(
        f"{time.monotonic() - began:.0f} s; "
        f"{'all rules held' if rules_held else 'RULES WERE BROKEN'}"
    )
    return 0 if rules_held else 1


def _submit(cluster, name, steps, number):
    node = cluster.nodes[number % len(cluster.nodes)]
    reply = cluster.submit(node, _POOL, name, steps, seconds=0.3)
    if reply is None or reply.status != 200:
        raise SystemExit(f"{name} was not accepted: {reply}")


def _summarize(cluster, names, long_lived_job):
    """Print the jobs' results; return whether all rules held."""
    log = cluster.world.log
    starts = sum(len(log.starts_of(name)) for name in names)
    needed = len(names) * (_TASKS + 1)
    broken = rules.broken_rules(cluster.world)
    print(f"completed       {len(names)} jobs, {needed} tasks")
    print(f"started again   {starts - needed} tasks, after the kill")
    print(
        "cancelled       1 long-lived job, "
        f"{len(log.starts_of(long_lived_job))} runs"
    )
    print(f"rules broken    {len(broken)}")
    for line in broken:
        print(f"  {line}")
    print("last job states that were logged:")
    for line in cluster.events("job:state")[-2:]:
        print(f"  {line}")
    return not broken


if __name__ == "__main__":
    sys.exit(main())
